#!/usr/bin/env bash
# Time without a holder of the duty `orders` after its daemon is killed, and service during a store outage. Usage: bench/failover.sh BUILD_DIR
set -euo pipefail
source "$(dirname "$0")/../tools/local_cell.sh"
ROUNDS=${ROUNDS:-3}

now_ms() { date +%s%3N; }

# Number of the daemon that holds the duty, skipping one; 0 when none does.
holder_of() {
    local i
    for ((i = 1; i <= DAEMONS; i++)); do
        [[ -n ${PROCESSES[daemon-$i]:-} ]] || continue
        if curl -s -m 1 -H "Authorization: Bearer $(cat "$WORK/token")" "http://$(caller_address "$i")/operator/v1/status" | tr -d ' \n' |
            grep -oE '\{[^{}]*"duty":"'"$1"'"[^{}]*\}' | grep -q '"held_here":true'; then
            echo "$i"
            return
        fi
    done
    echo 0
}

wait_for_holder() {
    local holder=0
    for ((try = 0; try < 600; try++)); do
        holder=$(holder_of orders)
        ((holder > 0)) && break
        sleep 0.05
    done
    echo "$holder"
}

kill_round() {
    local holder began
    holder=$(wait_for_holder)
    began=$(now_ms)
    kill -KILL "${PROCESSES[daemon-$holder]}"
    wait "${PROCESSES[daemon-$holder]}" 2>/dev/null || true
    unset "PROCESSES[daemon-$holder]"
    [[ $(wait_for_holder) == 0 ]] && fail "no holder within 30 s"
    echo $(($(now_ms) - began)) >>"$WORK/failover_ms"
    start "daemon-$holder" "$BUILD/lacewinglockd" --settings "$WORK/daemon-$holder.json"
    sleep 8
}

store_outage() {
    post "$PLATFORM/faults" '{"name": "store_outage", "value": true, "duration_ms": 15000}'
    sleep 4
    start_load outage 10 5
    end_load outage
}

start_system
configure_system
create_keys
sleep $((DAEMONS * 2))
for ((round = 1; round <= ROUNDS; round++)); do kill_round; done
row "without a holder of orders" "$(sort -n "$WORK/failover_ms" | tr '\n' ' ')ms"
store_outage
exit "$FAILED"
