#!/usr/bin/env bash
# Starts the stand-ins and nine daemons on loopback, sends load through planned changes and failures, and prints what happened.
# Exits non-zero when any caller got a wrong, cut or doubled answer, or when a step failed. Stops only the processes it started.
set -euo pipefail

# What may be changed from the environment, besides the variables of tools/local_cell.sh.
CRASHED_ENGINE=${CRASHED_ENGINE:-manual-reader-02}
KILLED_DAEMON=${KILLED_DAEMON:-5}
DRAINED_DAEMON=${DRAINED_DAEMON:-8}
CALM_SECONDS=${CALM_SECONDS:-15}
FAILURE_SECONDS=${FAILURE_SECONDS:-30}
DRAIN_SECONDS=${DRAIN_SECONDS:-20}
DRAIN_LIMIT=${DRAIN_LIMIT:-40}
REFUSAL_LIMIT=${REFUSAL_LIMIT:-4} # Seconds until a withdrawn key must be refused everywhere.
TIME_LIMIT=${TIME_LIMIT:-280}

source "$(dirname "$0")/../tools/local_cell.sh"

# Withdraws a key of its own and checks that every daemon refuses it in time.
withdraw_key() {
    local key before began
    key=$(create_key "${ORGANISATIONS[0]}" demo-withdrawn) || { fail "key create: $(tail -n 1 "$WORK/key.log")"; return; }
    for ((try = 0; try < READY_SECONDS; try++)); do
        before=$(status_with_key "$key" 1)
        [[ $before == 200 ]] && break
        sleep 0.5
    done
    began=$SECONDS
    cli key withdraw demo-withdrawn >"$WORK/withdraw.log" 2>&1 || fail "key withdraw: $(tail -n 1 "$WORK/withdraw.log")"
    sleep "$REFUSAL_LIMIT"
    for ((i = 1; i <= DAEMONS; i++)); do
        local after
        after=$(status_with_key "$key" "$i")
        if [[ $after != 401 && $after != 403 ]]; then
            fail "daemon $i answered $after with the withdrawn key after $((SECONDS - began)) s"
        fi
    done
    row "withdrawn key" "answered $before before; checked at every daemon after $REFUSAL_LIMIT s"
}

patch_configuration() {
    echo "{\"organisations\": {\"${ORGANISATIONS[-1]}\": {\"weight\": 2}}}" >"$WORK/patch.json"
    cli get >"$WORK/config.json" 2>"$WORK/get.log" || fail "get: $(tail -n 1 "$WORK/get.log")"
    cli patch -f "$WORK/patch.json" --base "$(number "$WORK/config.json" version)" >"$WORK/patch.log" 2>&1 || fail "patch: $(tail -n 1 "$WORK/patch.log")"
    row "patched" "version $(number "$WORK/patch.log" version), $(text message <"$WORK/patch.log")"
}

kill_and_crash() {
    sleep $((FAILURE_SECONDS / 3))
    note "kill -9 of daemon $KILLED_DAEMON"
    kill -KILL "${PROCESSES[daemon-$KILLED_DAEMON]}"
    unset "PROCESSES[daemon-$KILLED_DAEMON]"
    post "$PLATFORM/instances" "{\"id\": \"entry-$KILLED_DAEMON\", \"gone\": true}"
    sleep $((FAILURE_SECONDS / 6))
    note "crash of engine $CRASHED_ENGINE"
    post "$PLATFORM/faults" "{\"name\": \"endpoint\", \"value\": {\"id\": \"$CRASHED_ENGINE\", \"fault\": {\"name\": \"crash\", \"duration_ms\": 5000}}}"
    row "failures" "daemon $KILLED_DAEMON killed, engine $CRASHED_ENGINE crashed for 5 s, both under load"
}

drain_daemon() {
    local process=${PROCESSES[daemon-$DRAINED_DAEMON]} status=0 began
    sleep $((DRAIN_SECONDS / 3))
    note "SIGTERM to daemon $DRAINED_DAEMON"
    began=$SECONDS
    register "$DRAINED_DAEMON" true
    kill -TERM "$process"
    for ((try = 0; try < DRAIN_LIMIT * 5; try++)); do
        kill -0 "$process" 2>/dev/null || break
        sleep 0.2
    done
    if kill -0 "$process" 2>/dev/null; then
        fail "daemon $DRAINED_DAEMON did not end within $DRAIN_LIMIT s of SIGTERM"
        return
    fi
    wait "$process" || status=$?
    unset "PROCESSES[daemon-$DRAINED_DAEMON]"
    post "$PLATFORM/instances" "{\"id\": \"entry-$DRAINED_DAEMON\", \"gone\": true}"
    row "drained" "daemon $DRAINED_DAEMON ended with status $status $((SECONDS - began)) s after SIGTERM"
    ((status == 0)) || fail "the drained daemon ended with status $status"
}

show_usage() {
    sleep $((USAGE_WINDOW + USAGE_GRACE + 3))
    curl -s "$PLATFORM/usage/reports" >"$WORK/usage.json"
    curl -s "$PLATFORM/audit" >"$WORK/audit.json"
    local window
    window=$(grep -oE '"window": *[0-9]+' "$WORK/usage.json" | grep -oE '[0-9]+$' | sort -n | tail -n 1 || true)
    cli usage --window "${window:-0}" >"$WORK/usage.log" 2>&1 || fail "usage: $(tail -n 1 "$WORK/usage.log")"
    head -n 20 "$WORK/usage.log"
    local reports conflicts
    reports=$(grep -o '"window"' "$WORK/usage.json" | wc -l)
    conflicts=$(number "$WORK/usage.json" conflicts)
    row "usage" "$reports reports, $conflicts windows with different figures"
    ((reports > 0)) || fail "no usage report arrived"
    ((conflicts == 0)) || fail "a window was reported twice with different figures"
    check_audit conflicts "engines took conflicting orders"
    check_audit cut_by_change "streams were cut by a role change"
}

# Runs the decisions that the daemons logged again, and prints those of one request.
replay_decisions() {
    local file replayed=0 request
    for file in "$WORK"/decisions-*.jsonl; do
        if "$BUILD/lacewinglock" replay "$file" >"$WORK/replay.log" 2>&1; then
            replayed=$((replayed + $(wc -l <"$file")))
        else
            fail "replay: $(tail -n 1 "$WORK/replay.log")"
        fi
    done
    row "replayed" "$replayed decisions of $(ls "$WORK"/decisions-*.jsonl | wc -l) daemons, same results"
    ((replayed > 0)) || fail "no decision was logged"
    request=$(grep -m 1 '"kind":"route"' "$WORK/decisions-1.jsonl" "$WORK"/decisions-[2-9].jsonl -h | grep -oE '"request":"[^"]+"' | head -n 1 | cut -d'"' -f4 || true)
    for file in "$WORK"/decisions-*.jsonl; do
        grep -q "\"request\":\"$request\"" "$file" && "$BUILD/lacewinglock" explain "$request" --log "$file" | head -n 12 && break
    done
}

check_audit() {
    if grep -qE "\"$1\": *[1-9]" "$WORK/audit.json"; then
        fail "$2"
    fi
}

# Short sleeps, so that none outlives the script for long.
(for ((second = 0; second < TIME_LIMIT; second++)); do sleep 1; done; kill -TERM $$) &
WATCHDOG=$!

note "starting"
start_system
configure_system
create_keys
note "calm load for $CALM_SECONDS s, with a patch"
start_load calm "$CALM_SECONDS" 1
sleep 3
patch_configuration
end_load calm
note "withdrawing a key"
withdraw_key
note "load for $FAILURE_SECONDS s with failures"
start_load failures "$FAILURE_SECONDS" 2
kill_and_crash
end_load failures
note "load for $DRAIN_SECONDS s with a drain"
start_load drain "$DRAIN_SECONDS" 3
drain_daemon
end_load drain
note "waiting for the usage report"
show_usage
note "replaying the decision logs"
replay_decisions
exit "$FAILED"
