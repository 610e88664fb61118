#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
timeout -k 2 118 build-review/case-2 review/2 "$temporary"
code=$?
rm -rf "$temporary"
[ "$code" -le 1 ] && exit "$code"
exit 2
