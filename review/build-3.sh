#!/bin/sh
# Prepares the stand-ins that the scripts of review/11 to review/15 start. They are plain modules under review/lib-3, which need no compiler;
# this checks that node can read each of them.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
