#!/bin/sh
# Plays the case; with TROUBLE=0 without the disruption. Exit codes: 1 the rule
# was broken, 0 it held, 2 the case could not run.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case" 5
