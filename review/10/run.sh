#!/usr/bin/env bash
# Runs the case: exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 lets the ids be consecutive.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
