#!/usr/bin/env bash
# Measures the control overhead of an idle cell: CPU time, memory and control traffic per daemon. Usage: bench/control_cost.sh BUILD_DIR [DAEMONS...]
set -euo pipefail
source "$(dirname "$0")/../tools/local_cell.sh"
shift
SAMPLE_SECONDS=${SAMPLE_SECONDS:-20}
TICKS=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
control_bytes() { curl -s -m 2 "http://$(caller_address "$1")/metrics" | awk '/^lacewinglock_control_bytes_(sent|received)_total/ {sum += $NF} END {printf "%d", sum}'; }
roster_size() { cli status 2>/dev/null | sed -n '/"roster"/,/\]/p' | grep -c '"entry-' || true; }

# The roster admits one member at a time, so its growth takes a while.
wait_for_roster() {
    for ((try = 0; try < 240; try++)); do
        (($(roster_size) >= DAEMONS)) && return 0
        sleep 1
    done
    fail "the roster has $(roster_size) of $DAEMONS members after 240 checks"
}

measure() {
    local -A ticks_before bytes_before
    local i ticks=0 rss_total=0 control=0 rss_max=0 rss
    for ((i = 1; i <= DAEMONS; i++)); do
        ticks_before[$i]=$(cpu_ticks "${PROCESSES[daemon-$i]}")
        bytes_before[$i]=$(control_bytes "$i")
    done
    sleep "$SAMPLE_SECONDS"
    for ((i = 1; i <= DAEMONS; i++)); do
        ticks=$((ticks + $(cpu_ticks "${PROCESSES[daemon-$i]}") - ticks_before[$i]))
        rss=$(resident_kb "${PROCESSES[daemon-$i]}")
        rss_total=$((rss_total + rss))
        ((rss > rss_max)) && rss_max=$rss
        control=$((control + $(control_bytes "$i") - bytes_before[$i]))
    done
    row "$DAEMONS daemons" "$(awk -v t=$ticks -v h="$TICKS" -v s="$SAMPLE_SECONDS" -v n="$DAEMONS" -v r=$rss_total -v p=$rss_max -v b=$control \
        'BEGIN {printf "%.2f%% of a core, %.1f MB (maximum %.1f), %.1f KB/s control traffic", 100*t/h/s/n, r/n/1024, p/1024, b/s/n/1024}')"
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
