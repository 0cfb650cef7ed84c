# One entry point per job; every target sets up what it needs.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed-$(shell cat requirements/*.txt | cksum | cut -d' ' -f1)
SEED ?= 1
SECONDS ?= 60
SEEDS ?= 50

.PHONY: setup demo test format lint check unit measure soak soak-nodes binary pages clean

setup: $(STAMP)

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	  -r requirements/dev.txt
	touch $(STAMP)

demo: setup
	$(BIN)/python -m standins.demo

format: setup
	$(BIN)/ruff format .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports

# Lines "red: TEST" of KNOWN-RED.txt name the tests that are passed over.
unit: setup
	sed -n "s/^red: .*/passed over, &/p" KNOWN-RED.txt
	$(BIN)/python -m pytest -n 6 --dist loadfile \
	  $(shell sed -n "s/^red: \(.*\)/--deselect '\1'/p" KNOWN-RED.txt)

test: lint unit

measure: setup
	$(BIN)/python -m standins.measure

soak: setup
	$(BIN)/python -m standins.soak --seed $(SEED) --seconds $(SECONDS)

# Real nodes under signals, restarts and changes that overlap.
soak-nodes: setup
	PYTHONPATH=platform $(BIN)/python -m standin.soak --seed $(SEED) \
	  --seeds $(SEEDS)

binary: setup
	$(BIN)/python -m tools.build_binary

# Writes the tables of the catalogue pages from the code.
pages: setup
	$(BIN)/python -m tools.build_pages

clean:
	rm -rf build dist
