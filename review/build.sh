#!/bin/sh
# Checks the programs of the cases. They are plain JavaScript and use the modules of Node.js alone, so nothing is compiled;
# the daemons are those that the build of the deploy file has left under target/.
cd "$(dirname "$0")/.." || exit 2
for program in review/standins/*.mjs review/[0-9]*/*.mjs; do
  node --check "$program" || exit 2
done
[ -f target/persimmonhatch.mjs ] || { echo 'target/persimmonhatch.mjs is missing: run the build of the deploy file first.' >&2; exit 2; }
