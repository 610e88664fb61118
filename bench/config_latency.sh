#!/usr/bin/env bash
# Time from an accepted patch, and from a withdrawn key, until every daemon follows it. Usage: bench/config_latency.sh BUILD_DIR
set -euo pipefail
source "$(dirname "$0")/../tools/local_cell.sh"
ROUNDS=${ROUNDS:-10}

now_ms() { date +%s%3N; }
version_of() { curl -s -m 2 -H "Authorization: Bearer $(cat "$WORK/token")" "http://$(caller_address "$1")/operator/v1/status" | grep -oE '"version": *[0-9]+' | head -n 1 | grep -oE '[0-9]+$' || echo 0; }

wait_for_version() {
    local i
    for ((i = 1; i <= DAEMONS; i++)); do
        while (($(version_of "$i") < $1)); do sleep 0.01; done
    done
}

patch_round() {
    local base began
    base=$(version_of 1)
    echo "{\"organisations\": {\"${ORGANISATIONS[0]}\": {\"weight\": $((1 + base % 5))}}}" >"$WORK/patch.json"
    began=$(now_ms)
    cli patch -f "$WORK/patch.json" --base "$base" >"$WORK/patch.log" 2>&1 || { fail "patch: $(tail -n 1 "$WORK/patch.log")"; return; }
    wait_for_version $((base + 1))
    echo $(($(now_ms) - began)) >>"$WORK/patch_ms"
}

withdraw_round() {
    local id="bench-$1" key began i
    cli key create --organisation "${ORGANISATIONS[0]}" --id "$id" >"$WORK/key.log"
    key=$(grep -oE 'lw_[A-Za-z0-9_.-]+' "$WORK/key.log" | head -n 1)
    for ((i = 1; i <= DAEMONS; i++)); do
        [[ $(status_with_key "$key" "$i") == 200 ]] || fail "a new key was refused at daemon $i"
    done
    began=$(now_ms)
    cli key withdraw "$id" >/dev/null
    for ((i = 1; i <= DAEMONS; i++)); do
        while [[ $(status_with_key "$key" "$i") == 200 ]]; do sleep 0.01; done
    done
    echo $(($(now_ms) - began)) >>"$WORK/withdraw_ms"
}

spread() { sort -n "$1" | awk '{v[NR] = $1} END {printf "median %d ms, largest %d ms, %d rounds", v[int((NR + 1) / 2)], v[NR], NR}'; }

start_system
configure_system
sleep $((DAEMONS * 2))
for ((round = 1; round <= ROUNDS; round++)); do patch_round; done
for ((round = 1; round <= ROUNDS; round++)); do withdraw_round "$round"; done
row "patch held by all $DAEMONS daemons" "$(spread "$WORK/patch_ms")"
row "withdrawn key refused by all" "$(spread "$WORK/withdraw_ms")"
exit "$FAILED"
