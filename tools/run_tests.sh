#!/usr/bin/env bash
# Runs all tests of a build except those listed in KNOWN-RED.txt, which fail because of an open fault; their names are printed.
set -euo pipefail
build=${1:?usage: tools/run_tests.sh BUILD_DIR}
cd "$(dirname "$0")/.."
known_failures=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
if [ -n "$known_failures" ]; then
    echo "known failing tests, not run: $known_failures"
fi
ctest --test-dir "$build" --output-on-failure -j 8 ${known_failures:+-E "^(${known_failures//./\\.})\$"}
