#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the deploy file's `build`. They are Python, run in the
# cases' own processes and need nothing but the standard library: this compiles them.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/rig2.py review/6 review/7 review/8 review/9 review/10
