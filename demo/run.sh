#!/usr/bin/env bash
# Starts the stand-ins and nine daemons on loopback, sends load during planned changes and failures, and prints a table of the results.
# Exits non-zero if any caller got a wrong, truncated or duplicated response, or if a step failed. Stops only the processes it started.
set -euo pipefail

# Settings that the environment may override, besides those of tools/local_cell.sh. All durations are in seconds.
CRASHED_ENGINE=${CRASHED_ENGINE:-manual-reader-02}
KILLED_DAEMON=${KILLED_DAEMON:-5}
DRAINED_DAEMON=${DRAINED_DAEMON:-8}
CALM_SECONDS=${CALM_SECONDS:-15}
FAILURE_SECONDS=${FAILURE_SECONDS:-30}
DRAIN_SECONDS=${DRAIN_SECONDS:-20}
DRAIN_LIMIT=${DRAIN_LIMIT:-40}
REFUSAL_LIMIT=${REFUSAL_LIMIT:-4} # Time after which every daemon must refuse a withdrawn key.
TIME_LIMIT=${TIME_LIMIT:-280}

source "$(dirname "$0")/../tools/local_cell.sh"

# Creates and withdraws a key and checks that every daemon refuses it after REFUSAL_LIMIT seconds.
withdraw_key() {
    local key before started
    key=$(create_key "${ORGANISATIONS[0]}" demo-withdrawn) || { fail "key create: $(tail -n 1 "$WORK/key.log")"; return; }
    for ((try = 0; try < READY_SECONDS; try++)); do
        before=$(status_with_key "$key" 1)
        [[ $before == 200 ]] && break
        sleep 0.5
    done
    started=$SECONDS
    cli key withdraw demo-withdrawn >"$WORK/withdraw.log" 2>&1 || fail "key withdraw: $(tail -n 1 "$WORK/withdraw.log")"
    sleep "$REFUSAL_LIMIT"
    for ((i = 1; i <= DAEMONS; i++)); do
        local after
        after=$(status_with_key "$key" "$i")
        if [[ $after != 401 && $after != 403 ]]; then
            fail "daemon $i answered status $after to the withdrawn key $((SECONDS - started)) s after its withdrawal"
        fi
    done
    row "withdrawn key" "status $before before the withdrawal; checked at every daemon $REFUSAL_LIMIT s after it"
}

patch_configuration() {
    echo "{\"organisations\": {\"${ORGANISATIONS[-1]}\": {\"weight\": 2}}}" >"$WORK/patch.json"
    cli get >"$WORK/config.json" 2>"$WORK/get.log" || fail "get configuration: $(tail -n 1 "$WORK/get.log")"
    cli patch -f "$WORK/patch.json" --base "$(json_number "$WORK/config.json" version)" >"$WORK/patch.log" 2>&1 || fail "configuration patch: $(tail -n 1 "$WORK/patch.log")"
    row "configuration patch" "version $(json_number "$WORK/patch.log" version), $(json_text message <"$WORK/patch.log")"
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
    local process=${PROCESSES[daemon-$DRAINED_DAEMON]} status=0 started
    sleep $((DRAIN_SECONDS / 3))
    note "SIGTERM to daemon $DRAINED_DAEMON"
    started=$SECONDS
    register_instance "$DRAINED_DAEMON" true
    kill -TERM "$process"
    for ((try = 0; try < DRAIN_LIMIT * 5; try++)); do
        kill -0 "$process" 2>/dev/null || break
        sleep 0.2
    done
    if kill -0 "$process" 2>/dev/null; then
        fail "daemon $DRAINED_DAEMON did not exit within $DRAIN_LIMIT s after SIGTERM"
        return
    fi
    wait "$process" || status=$?
    unset "PROCESSES[daemon-$DRAINED_DAEMON]"
    post "$PLATFORM/instances" "{\"id\": \"entry-$DRAINED_DAEMON\", \"gone\": true}"
    row "drained" "daemon $DRAINED_DAEMON exited with status $status $((SECONDS - started)) s after SIGTERM"
    ((status == 0)) || fail "the drained daemon $DRAINED_DAEMON exited with status $status"
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
    conflicts=$(json_number "$WORK/usage.json" conflicts)
    row "usage" "$reports reports, $conflicts windows reported with different counts"
    ((reports > 0)) || fail "the platform received no usage report"
    ((conflicts == 0)) || fail "$conflicts usage windows were reported again with different counts"
    check_audit conflicts "engines accepted conflicting orders"
    check_audit cut_by_change "streams were truncated by a role change"
}

# Replays the logged decisions of all daemons, checks for the same results, and prints the decisions of one request.
replay_decisions() {
    local file replayed=0 request
    for file in "$WORK"/decisions-*.jsonl; do
        if "$BUILD/lacewinglock" replay "$file" >"$WORK/replay.log" 2>&1; then
            replayed=$((replayed + $(wc -l <"$file")))
        else
            fail "replay of $file: $(tail -n 1 "$WORK/replay.log")"
        fi
    done
    row "replay" "$replayed decisions of $(ls "$WORK"/decisions-*.jsonl | wc -l) daemons gave the same results"
    ((replayed > 0)) || fail "no logged decision could be replayed"
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

# The watchdog sleeps in steps of 1 s, so that no sleep process outlives the script by more than that.
(for ((second = 0; second < TIME_LIMIT; second++)); do sleep 1; done; kill -TERM $$) &
WATCHDOG=$!

note "starting"
start_system
configure_system
create_keys
note "load for $CALM_SECONDS s without failures, with a configuration patch"
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
note "waiting for the usage reports"
show_usage
note "replaying the decision logs"
replay_decisions
exit "$FAILED"
