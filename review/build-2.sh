#!/usr/bin/env bash
# Builds what the scripts of the cases 8 and up start besides the programs of
# the deploy file. Their stand-ins are Python scripts, so this only checks that
# Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import glob
import tomllib  # needed by lib-2/fleet.py

for path in glob.glob("lib-2/*.py") + glob.glob("[0-9]*/case.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
