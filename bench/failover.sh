#!/usr/bin/env bash
# Measures the time without a holder of the duty `orders` after its daemon is killed, and the load results during a store outage. Usage: bench/failover.sh BUILD_DIR
set -euo pipefail
source "$(dirname "$0")/../tools/local_cell.sh"
ROUNDS=${ROUNDS:-3}

now_ms() { date +%s%3N; }

# Prints the number of the first running daemon that reports to hold the duty; 0 if none does.
duty_holder() {
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

wait_for_orders_holder() {
    local holder=0
    for ((try = 0; try < 600; try++)); do
        holder=$(duty_holder orders)
        ((holder > 0)) && break
        sleep 0.05
    done
    echo "$holder"
}

measure_failover() {
    local holder started_ms
    holder=$(wait_for_orders_holder)
    started_ms=$(now_ms)
    kill -KILL "${PROCESSES[daemon-$holder]}"
    wait "${PROCESSES[daemon-$holder]}" 2>/dev/null || true
    unset "PROCESSES[daemon-$holder]"
    [[ $(wait_for_orders_holder) == 0 ]] && fail "no daemon took over the duty orders after daemon $holder was killed"
    echo $(($(now_ms) - started_ms)) >>"$WORK/failover_ms"
    start "daemon-$holder" "$BUILD/lacewinglockd" --settings "$WORK/daemon-$holder.json"
    sleep 8
}

run_store_outage() {
    post "$PLATFORM/faults" '{"name": "store_outage", "value": true, "duration_ms": 15000}'
    sleep 4
    start_load outage 10 5
    end_load outage
}

start_system
configure_system
create_keys
sleep $((DAEMONS * 2))
for ((round = 1; round <= ROUNDS; round++)); do measure_failover; done
row "duty orders without a holder" "$(sort -n "$WORK/failover_ms" | tr '\n' ' ')ms"
run_store_outage
exit "$FAILED"
