#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which need Python's own library
# only: they are compiled, so that a syntax error shows here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q rig2 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py
