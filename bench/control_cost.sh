#!/usr/bin/env bash
# Cost of control in an idle cell: processor time, memory and control bytes per daemon. Usage: bench/control_cost.sh BUILD_DIR [DAEMONS...]
set -euo pipefail
source "$(dirname "$0")/../tools/local_cell.sh"
shift
SAMPLE_SECONDS=${SAMPLE_SECONDS:-20}
TICKS=$(getconf CLK_TCK)

processor_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
control_bytes() { curl -s -m 2 "http://$(caller_address "$1")/metrics" | awk '/^lacewinglock_control_bytes_(sent|received)_total/ {sum += $NF} END {printf "%d", sum}'; }
roster_size() { cli status 2>/dev/null | sed -n '/"roster"/,/\]/p' | grep -c '"entry-' || true; }

# The roster takes one member per step.
wait_for_roster() {
    for ((try = 0; try < 240; try++)); do
        (($(roster_size) >= DAEMONS)) && return 0
        sleep 1
    done
    fail "the roster has $(roster_size) of $DAEMONS members"
}

measure() {
    local -A before bytes
    local i ticks=0 rss=0 sent=0 peak=0 now
    for ((i = 1; i <= DAEMONS; i++)); do
        before[$i]=$(processor_ticks "${PROCESSES[daemon-$i]}")
        bytes[$i]=$(control_bytes "$i")
    done
    sleep "$SAMPLE_SECONDS"
    for ((i = 1; i <= DAEMONS; i++)); do
        ticks=$((ticks + $(processor_ticks "${PROCESSES[daemon-$i]}") - before[$i]))
        now=$(resident_kb "${PROCESSES[daemon-$i]}")
        rss=$((rss + now))
        ((now > peak)) && peak=$now
        sent=$((sent + $(control_bytes "$i") - bytes[$i]))
    done
    row "$DAEMONS daemons" "$(awk -v t=$ticks -v h="$TICKS" -v s="$SAMPLE_SECONDS" -v n="$DAEMONS" -v r=$rss -v p=$peak -v b=$sent \
        'BEGIN {printf "%.2f%% of a core, %.1f MB (largest %.1f), %.1f KB/s of control", 100*t/h/s/n, r/n/1024, p/1024, b/s/n/1024}')"
}

for DAEMONS in "${@:-3}"; do
    start_system
    configure_system
    wait_for_roster
    sleep 3
    measure
    stop_processes all 20
done
exit "$FAILED"
