#!/usr/bin/env bash
# Added time to the first token against a direct call, and the cost of relayed streams in one daemon. Usage: bench/relay.sh BUILD_DIR
set -euo pipefail
DAEMONS=${DAEMONS:-1}
source "$(dirname "$0")/../tools/local_cell.sh"
CALLS=${CALLS:-60}
STREAM_TOKENS=${STREAM_TOKENS:-400}
TICKS=$(getconf CLK_TCK)

processor_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
engine_address() { grep -oE '"address": *"[^"]+"' "$EXAMPLE/endpoints.json" | head -n 1 | cut -d'"' -f4; }
body() { printf '{"model": "%s", "prompt": "pulley %s", "max_tokens": %d, "stream": true}' "$MODEL" "$1" "$2"; }

# Milliseconds until an answer of one token is whole, one call after the other.
first_token_ms() {
    local i
    for ((i = 0; i < CALLS; i++)); do
        curl -s -o /dev/null -w '%{time_total}\n' -H "Authorization: Bearer $KEY" -H "X-Attempt-Id: bench-$i" \
            -H 'Content-Type: application/json' -d "$(body "$i" 1)" "http://$1/v1/completions"
    done | sort -n | awk '{v[NR] = $1 * 1000} END {printf "%.2f", v[int((NR + 1) / 2)]}'
}

# Opens streams through daemon 1 and reads its processor time and memory while all of them run.
stream_cost() {
    local count=$1 process=${PROCESSES[daemon-1]} before idle ticks began tokens
    local -a readers=()
    idle=$(resident_kb "$process")
    before=$(processor_ticks "$process")
    began=$(date +%s%3N)
    for ((i = 0; i < count; i++)); do
        curl -s -m 120 -N -H "Authorization: Bearer $KEY" -H 'Content-Type: application/json' -d "$(body "$i" "$STREAM_TOKENS")" \
            "http://$(caller_address 1)/v1/completions" -o "$WORK/stream-$i" &
        readers+=($!)
    done
    sleep 5
    local busy
    busy=$(resident_kb "$process")
    wait "${readers[@]}" || true
    ticks=$(($(processor_ticks "$process") - before))
    tokens=$(cat "$WORK"/stream-* | grep -c '"index"' || true)
    rm -f "$WORK"/stream-*
    row "$count streams" "$(awk -v n="$count" -v t=$ticks -v h="$TICKS" -v k="$tokens" -v i="$idle" -v b="$busy" -v ms=$(($(date +%s%3N) - began)) \
        'BEGIN {printf "%d tokens in %.1f s, %d tokens per second of processor time, %.0f KB a stream (%.1f to %.1f MB)", k, ms/1000, k/(t/h), (b-i)/n, i/1024, b/1024}')"
}

CALLER_THREADS=640
start_system
configure_system
sleep 4
# The example's limit of concurrent requests would refuse most of the streams.
echo "{\"organisations\": {\"${ORGANISATIONS[0]}\": {\"limits\": null}}}" >"$WORK/patch.json"
cli patch -f "$WORK/patch.json" --base 1 >"$WORK/patch.log" 2>&1 || fail "patch: $(tail -n 1 "$WORK/patch.log")"
KEY=$(cli key create --organisation "${ORGANISATIONS[0]}" --id relay-bench | grep -oE 'lw_[A-Za-z0-9_.-]+' | head -n 1)
sleep 2
direct=$(first_token_ms "$(engine_address)")
routed=$(first_token_ms "$(caller_address 1)")
row "one token" "direct $direct ms, through a daemon $routed ms (medians of $CALLS calls)"
stream_cost 200
stream_cost 400
exit "$FAILED"
