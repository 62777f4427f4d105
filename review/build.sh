#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be loaded. They need Python's
# standard library alone and nothing is compiled. The gateways that the scripts
# start are the program that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
find . -name '*.py' | sort | while read -r source; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
test -x ../target/Source/App/camphorstep
