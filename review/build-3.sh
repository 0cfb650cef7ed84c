#!/bin/sh
# Compiles the stand-ins and the cases of this review; they use only the
# standard library of the Python that `deploy/system.toml` names.
cd "$(dirname "$0")" && exec python3 -m compileall -q rig3 11 12 13 14 15
