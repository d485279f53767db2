#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain JavaScript modules in lib-2 and need no compiler: this checks
# that each can be parsed. The programs themselves come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
test -f ../target/briarloom.js || { echo 'target/briarloom.js is missing: run the build of the deploy file first' >&2; exit 1; }
