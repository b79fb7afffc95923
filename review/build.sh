#!/usr/bin/env bash
# Prepares the scripts of the review. Their stand-ins are Python programs of
# this folder that use the standard library only, so there is nothing to
# compile: this checks that they can be read and that the programs under test
# were built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
for program in wigeonfold-control wigeonfold-node; do
  test -x "../target/build/bin/$program" || {
    echo "target/build/bin/$program is missing: run the build of the deploy file" >&2
    exit 1
  }
done
