"""Runs the command line by ``python -m bergamotdeal``."""

from bergamotdeal.cli import main

if __name__ == "__main__":
    main.main(prog_name="bergamotdeal")
