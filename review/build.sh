#!/bin/bash
# Builds what the cases start besides the programs of the deploy file: their stand-ins are plain modules and only have to parse.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
test -e target/briarloom.js || { echo 'target/briarloom.js is missing: run the build of deploy/system.toml first' >&2; exit 1; }
