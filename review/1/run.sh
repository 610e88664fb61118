#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
case_id=
finish() {
    # The daemons are killed when the case ends.
    [ -z "$case_id" ] || { kill "$case_id" && wait "$case_id"; } 2>/dev/null
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
timeout -k 2 115 build-review/case-1 review/1 "$temporary" &
case_id=$!
wait "$case_id"
code=$?
case_id=
[ "$code" -le 1 ] && exit "$code"
exit 2
