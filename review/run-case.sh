#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER PROGRAM TROUBLE, where TROUBLE is 0 to leave the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$1
program="$(dirname "$0")/standins/target/release/$2"
if [[ ! -x $program || ! -x "$folder/../../target/release/dahliaseamd" ]]; then
    echo 'not built: run the build of the deploy file and review/build.sh' | tee "$folder/record.txt" >&2
    exit 2
fi
timeout --signal=KILL 118 "$program" "$folder" "$3"
status=$?
[[ $status -le 2 ]] || status=2
exit "$status"
