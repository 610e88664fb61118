#!/usr/bin/env bash
# Runs the tests of the data path in use and a short fault soak on a build with sanitizers; every finding ends the program and fails the run. Tests in
# KNOWN-RED.txt are passed over, as in run_tests.sh.
set -euo pipefail
build=${1:?usage: tools/run_sanitized.sh BUILD_DIR}
cd "$(dirname "$0")/.."
suites='edge_*:http_client*:http_server*:spawn*:*endless_bytes*:lease_runner*:order_permits*:suspect_requests*:feed_relay*:fleet_duty*:usage_relay*:state_exchange*:exchange_messages*:versioned_table*:platform_*:server_rows*:configuration_row*'
suites+=':service_forward*:stream_forward*:endpoint_notice*:waiting_call*:waiting_repeat*:freed_handle*:notice_order*:limit_share*:place_*:endpoint_registry*:placement*:choose_*:relayed_feed*:line_log*:prefix_index*:usage_windows*:retry_budget*'
suites+=':hedge*:latency_quantiles*:ejection_forward*:ejection_test*:quota_forward*:quota_ledger*:endpoint_pace*:uneven_pace*:service_pace*:store_backoff*'
known_failures=$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd ':')
# Leaks are not reported: coroutines that still wait when a process ends are not freed.
export ASAN_OPTIONS=detect_leaks=0:abort_on_error=1 UBSAN_OPTIONS=print_stacktrace=1
"$build/lacewinglock_tests" --gtest_brief=1 --gtest_filter="$suites:-$known_failures"
"$build/lacewinglock-faultsoak" --seed 1 --minutes 0.4 --processes 4 --edge "$build/lacewinglock-edge"
