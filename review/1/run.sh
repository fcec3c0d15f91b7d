#!/usr/bin/env bash
# Plays the case of claim.txt; with TROUBLE=0 without its disruption. Exits with 1 if the rule was broken, 0 if it held, 2
# if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../run-case.sh" "$here" stop_while_slow "${TROUBLE:-1}"
