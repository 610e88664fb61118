#!/usr/bin/env bash
# Measures the time from a configuration patch until every daemon reports its version, and from the withdrawal of a key until every daemon
# refuses it. Usage: bench/config_latency.sh BUILD_DIR
set -euo pipefail
source "$(dirname "$0")/../tools/local_cell.sh"
ROUNDS=${ROUNDS:-10}

now_ms() { date +%s%3N; }
config_version() { curl -s -m 2 -H "Authorization: Bearer $(cat "$WORK/token")" "http://$(caller_address "$1")/operator/v1/status" | grep -oE '"version": *[0-9]+' | head -n 1 | grep -oE '[0-9]+$' || echo 0; }

wait_for_config_version() {
    local i
    for ((i = 1; i <= DAEMONS; i++)); do
        while (($(config_version "$i") < $1)); do sleep 0.01; done
    done
}

measure_patch() {
    local base started_ms
    base=$(config_version 1)
    echo "{\"organisations\": {\"${ORGANISATIONS[0]}\": {\"weight\": $((1 + base % 5))}}}" >"$WORK/patch.json"
    started_ms=$(now_ms)
    cli patch -f "$WORK/patch.json" --base "$base" >"$WORK/patch.log" 2>&1 || { fail "configuration patch: $(tail -n 1 "$WORK/patch.log")"; return; }
    wait_for_config_version $((base + 1))
    echo $(($(now_ms) - started_ms)) >>"$WORK/patch_ms"
}

measure_key_withdrawal() {
    local id="bench-$1" key started_ms i
    cli key create --organisation "${ORGANISATIONS[0]}" --id "$id" >"$WORK/key.log"
    key=$(grep -oE 'lw_[A-Za-z0-9_.-]+' "$WORK/key.log" | head -n 1)
    for ((i = 1; i <= DAEMONS; i++)); do
        [[ $(status_with_key "$key" "$i") == 200 ]] || fail "daemon $i refused the new key $id"
    done
    started_ms=$(now_ms)
    cli key withdraw "$id" >/dev/null
    for ((i = 1; i <= DAEMONS; i++)); do
        while [[ $(status_with_key "$key" "$i") == 200 ]]; do sleep 0.01; done
    done
    echo $(($(now_ms) - started_ms)) >>"$WORK/withdraw_ms"
}

latency_statistics() { sort -n "$1" | awk '{v[NR] = $1} END {printf "median %d ms, maximum %d ms, %d rounds", v[int((NR + 1) / 2)], v[NR], NR}'; }

start_system
configure_system
sleep $((DAEMONS * 2))
for ((round = 1; round <= ROUNDS; round++)); do measure_patch; done
for ((round = 1; round <= ROUNDS; round++)); do measure_key_withdrawal "$round"; done
row "patch active on all $DAEMONS daemons" "$(latency_statistics "$WORK/patch_ms")"
row "withdrawn key refused by all" "$(latency_statistics "$WORK/withdraw_ms")"
exit "$FAILED"
