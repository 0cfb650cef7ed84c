#!/bin/sh
# Builds the stand-ins of the scripts: Python modules without dependencies.
set -e
cd "$(dirname "$0")"
python3 -c 'import asyncio, tomllib; asyncio.timeout'
python3 -m compileall -q rig
