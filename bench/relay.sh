#!/usr/bin/env bash
# Compares the latency of a one-token completion through a daemon and directly at the engine, and measures the cost of relayed streams in one
# daemon. Usage: bench/relay.sh BUILD_DIR
set -euo pipefail
DAEMONS=${DAEMONS:-1}
source "$(dirname "$0")/../tools/local_cell.sh"
CALLS=${CALLS:-60}
STREAM_TOKENS=${STREAM_TOKENS:-400}
TICKS=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
engine_address() { grep -oE '"address": *"[^"]+"' "$EXAMPLE/endpoints.json" | head -n 1 | cut -d'"' -f4; }
request_body() { printf '{"model": "%s", "prompt": "pulley %s", "max_tokens": %d, "stream": true}' "$MODEL" "$1" "$2"; }

# Prints the median time in milliseconds of a complete one-token response at an address, over sequential calls.
one_token_latency_ms() {
    local i
    for ((i = 0; i < CALLS; i++)); do
        curl -s -o /dev/null -w '%{time_total}\n' -H "Authorization: Bearer $KEY" -H "X-Attempt-Id: bench-$i" \
            -H 'Content-Type: application/json' -d "$(request_body "$i" 1)" "http://$1/v1/completions"
    done | sort -n | awk '{v[NR] = $1 * 1000} END {printf "%.2f", v[int((NR + 1) / 2)]}'
}

# Opens concurrent streams through daemon 1 and measures its CPU time over all of them and its memory while they run.
stream_cost() {
    local count=$1 process=${PROCESSES[daemon-1]} before idle ticks started_ms tokens
    local -a clients=()
    idle=$(resident_kb "$process")
    before=$(cpu_ticks "$process")
    started_ms=$(date +%s%3N)
    for ((i = 0; i < count; i++)); do
        curl -s -m 120 -N -H "Authorization: Bearer $KEY" -H 'Content-Type: application/json' -d "$(request_body "$i" "$STREAM_TOKENS")" \
            "http://$(caller_address 1)/v1/completions" -o "$WORK/stream-$i" &
        clients+=($!)
    done
    sleep 5
    local busy
    busy=$(resident_kb "$process")
    wait "${clients[@]}" || true
    ticks=$(($(cpu_ticks "$process") - before))
    tokens=$(cat "$WORK"/stream-* | grep -c '"index"' || true)
    rm -f "$WORK"/stream-*
    row "$count streams" "$(awk -v n="$count" -v t=$ticks -v h="$TICKS" -v k="$tokens" -v i="$idle" -v b="$busy" -v ms=$(($(date +%s%3N) - started_ms)) \
        'BEGIN {printf "%d tokens in %.1f s, %d tokens per second of CPU time, %.0f KB per stream (%.1f to %.1f MB)", k, ms/1000, k/(t/h), (b-i)/n, i/1024, b/1024}')"
}

CALLER_THREADS=640
start_system
configure_system
sleep 4
# The concurrency limit in the example configuration would refuse most of the streams.
echo "{\"organisations\": {\"${ORGANISATIONS[0]}\": {\"limits\": null}}}" >"$WORK/patch.json"
cli patch -f "$WORK/patch.json" --base 1 >"$WORK/patch.log" 2>&1 || fail "configuration patch: $(tail -n 1 "$WORK/patch.log")"
KEY=$(cli key create --organisation "${ORGANISATIONS[0]}" --id relay-bench | grep -oE 'lw_[A-Za-z0-9_.-]+' | head -n 1)
sleep 2
direct=$(one_token_latency_ms "$(engine_address)")
routed=$(one_token_latency_ms "$(caller_address 1)")
row "one-token completion" "direct $direct ms, through a daemon $routed ms (medians of $CALLS calls)"
stream_cost 200
stream_cost 400
exit "$FAILED"
