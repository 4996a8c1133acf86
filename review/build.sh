#!/bin/sh
# Builds the stand-ins of the cases: plain Python of the standard library, so it only checks that they can be read.
# Needs the build of the deploy file, which makes .venv.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B - <<'END'
import ast, pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("ready:", path)
END
