#!/bin/sh
# Builds the stand-ins of the second review (cases 6 to 10): Python of the standard library, run by the
# environment that the command `build` of the deploy file has made.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec .venv/bin/python -m compileall -q review/rig2.py review/[6-9] $([ -d review/10 ] && echo review/10)
