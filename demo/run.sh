#!/usr/bin/env bash
# Starts the stand-ins and nine daemons on loopback, sends load through planned changes and failures, and prints what happened.
# Exits non-zero when any caller got a wrong, cut or doubled answer, or when a step failed. Stops only the processes it started.
set -euo pipefail

BUILD=${1:?usage: demo/run.sh BUILD_DIR}
ROOT=$(cd "$(dirname "$0")/.." && pwd)

# What may be changed from the environment.
EXAMPLE=${EXAMPLE:-$ROOT/examples/ribbonwire}
HOST=${HOST:-127.0.0.1}
PLATFORM_PORT=${PLATFORM_PORT:-19000}
CALLER_BASE=${CALLER_BASE:-18000}
PEER_BASE=${PEER_BASE:-18100}
DAEMONS=${DAEMONS:-9}
DOMAINS=(${DOMAINS:-ribbon-a ribbon-b ribbon-c})
ORGANISATIONS=(${ORGANISATIONS:-torvane-exchange bellmere-telephony candlewick-hotels osier-rail quarry-lane-school fenwick-clinic harrow-mill saltmarsh-ferries})
MODEL=${MODEL:-chassis-reader}
BOOKING_PATH=${BOOKING_PATH:-/bookings}
SERVICE_GROUP=${SERVICE_GROUP:-bench-desk}
CRASHED_ENGINE=${CRASHED_ENGINE:-manual-reader-02}
KILLED_DAEMON=${KILLED_DAEMON:-5}
DRAINED_DAEMON=${DRAINED_DAEMON:-8}
RATE=${RATE:-15}
CALM_SECONDS=${CALM_SECONDS:-15}
FAILURE_SECONDS=${FAILURE_SECONDS:-30}
DRAIN_SECONDS=${DRAIN_SECONDS:-20}
USAGE_WINDOW=${USAGE_WINDOW:-20}
USAGE_GRACE=${USAGE_GRACE:-5}
READY_SECONDS=${READY_SECONDS:-30}
DRAIN_LIMIT=${DRAIN_LIMIT:-40}
REFUSAL_LIMIT=${REFUSAL_LIMIT:-4} # Seconds until a withdrawn key must be refused everywhere.
TIME_LIMIT=${TIME_LIMIT:-280}
# Shape of the addresses in a daemon's settings: "object" for {host, port}, "string" for "IP:PORT".
ADDRESS_FORM=${ADDRESS_FORM:-string}

WORK=$(mktemp -d)
PLATFORM=http://$HOST:$PLATFORM_PORT
declare -A PROCESSES # Name to process id, only of processes started here.
declare -a ROWS=()
FAILED=0

note() { printf '%s  %s\n' "$(date +%T)" "$*"; }
row() { ROWS+=("$(printf '%-34s %s' "$1" "$2")"); }
fail() { FAILED=1; row "FAILED" "$*"; note "failed: $*"; }

# Ends the processes whose name matches a pattern: SIGTERM, then SIGKILL after a number of seconds.
stop_processes() {
    local pattern=$1 limit=$2 name left
    local -a chosen=()
    for name in "${!PROCESSES[@]}"; do
        case $name in
            daemon-* | load-*) chosen+=("$name") ;;
            *) [[ $pattern == '*' ]] && chosen+=("$name") ;;
        esac
    done
    for name in "${chosen[@]}"; do
        kill -TERM "${PROCESSES[$name]}" 2>/dev/null || true
    done
    for ((try = 0; try < limit * 10; try++)); do
        left=0
        for name in "${chosen[@]}"; do
            kill -0 "${PROCESSES[$name]}" 2>/dev/null && left=1
        done
        ((left == 0)) && break
        sleep 0.1
    done
    for name in "${chosen[@]}"; do
        kill -KILL "${PROCESSES[$name]}" 2>/dev/null || true
        wait "${PROCESSES[$name]}" 2>/dev/null || true
        unset "PROCESSES[$name]"
    done
}

finish() {
    local status=$?
    trap - EXIT INT TERM
    [[ -n ${WATCHDOG:-} ]] && kill "$WATCHDOG" 2>/dev/null || true
    # The daemons end first, as they still hand over leases and write usage through the platform.
    stop_processes daemons 25
    stop_processes '*' 5
    echo
    if ((${#ROWS[@]})); then
        printf '%s\n' "${ROWS[@]}"
    fi
    if ((status != 0 || FAILED != 0)); then
        echo "logs: $WORK"
        exit 1
    fi
    rm -rf "$WORK"
}
trap finish EXIT
trap 'exit 1' INT TERM

# Starts a program in the background under a name; its output goes to a log file.
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    PROCESSES[$name]=$!
}

caller_address() { echo "$HOST:$((CALLER_BASE + $1))"; }
peer_address() { echo "$HOST:$((PEER_BASE + $1))"; }
domain_of() { echo "${DOMAINS[$((($1 - 1) % ${#DOMAINS[@]}))]}"; }
cli() { "$BUILD/lacewinglock" "$@" --server "http://$(caller_address 1)" --token_file "$WORK/token"; }
post() { curl -sS -m 5 -o /dev/null -H 'Content-Type: application/json' -d "$2" "$1"; }

settings_address() {
    if [[ $ADDRESS_FORM == object ]]; then
        printf '{"host": "%s", "port": %d}' "$HOST" "$1"
    else
        printf '"%s:%d"' "$HOST" "$1"
    fi
}

write_settings() {
    cat >"$WORK/daemon-$1.json" <<JSON
{"instance_id": "entry-$1", "cell": "main", "failure_domain": "$(domain_of "$1")",
 "caller": $(settings_address $((CALLER_BASE + $1))), "peer": $(settings_address $((PEER_BASE + $1))),
 "platform": $(settings_address "$PLATFORM_PORT"), "cluster_secret": "$SECRET", "operator_token_hash": "$TOKEN_HASH",
 "usage_window_seconds": $USAGE_WINDOW, "usage_grace_seconds": $USAGE_GRACE, "decision_log": "$WORK/decisions-$1.jsonl"}
JSON
}

register() {
    post "$PLATFORM/instances" "{\"id\": \"entry-$1\", \"address\": \"$(peer_address "$1")\", \"caller_address\": \"$(caller_address "$1")\",
        \"failure_domain\": \"$(domain_of "$1")\", \"leaving\": ${2:-false}}"
}

# Waits until a URL gives any HTTP answer.
wait_for() {
    for ((try = 0; try < READY_SECONDS * 5; try++)); do
        curl -s -m 1 -o /dev/null "$1" && return 0
        sleep 0.2
    done
    note "no answer from $1"
    return 1
}

# HTTP status of a short completion with a key at a daemon.
status_with_key() {
    curl -s -m 10 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $1" -H 'Content-Type: application/json' \
        -d "{\"model\": \"$MODEL\", \"prompt\": \"pulley\", \"max_tokens\": 4}" "http://$(caller_address "$2")/v1/completions" || true
}

# A text field of JSON on standard input.
text() { grep -oE "\"$1\": *\"[^\"]*\"" | head -n 1 | sed -E 's/^"[^"]*": *"(.*)"$/\1/'; }

number() { grep -oE "\"$2\": *-?[0-9]+" "$1" | head -n 1 | grep -oE '[-0-9]+$' || echo 0; }

server_list() {
    local list=()
    for ((i = 1; i <= DAEMONS; i++)); do
        list+=("$(caller_address "$i")")
    done
    local IFS=,
    echo "${list[*]}"
}

service_addresses() {
    tr '{' '\n' <"$EXAMPLE/endpoints.json" | grep "\"$SERVICE_GROUP\"" | grep -oE '[0-9]+(\.[0-9]+){3}:[0-9]+' | paste -sd, -
}

# Starts load in the background: name, seconds, seed.
start_load() {
    start "load-$1" "$BUILD/lacewinglock" load --servers "$(server_list)" --keys "$WORK/keys.json" --models "$MODEL" --rate "$RATE" \
        --seconds "$2" --seed "$3" --booking_path "$BOOKING_PATH" --execution_servers "$(service_addresses)" --json "$WORK/load-$1.json"
}

# Waits for a load and adds its figures to the table.
end_load() {
    local status=0 file=$WORK/load-$1.json
    wait "${PROCESSES[load-$1]}" || status=$?
    unset "PROCESSES[load-$1]"
    if [[ ! -s $file ]]; then
        fail "load $1 gave no summary (status $status)"
        return
    fi
    row "load: $1" "sent $(number "$file" sent), whole $(number "$file" whole), timely $(number "$file" timely), reconnected $(number "$file" reconnected), lost $(number "$file" lost)"
    row "  refused" "$(tr -d '\n ' <"$file" | grep -oE '"refused":\{[^}]*\}' || echo none)"
    row "  wrong / cut / doubled" "$(number "$file" wrong) / $(number "$file" cut) / $(number "$file" doubled)"
    row "  bookings" "$(number "$file" bookings), ran twice $(number "$file" booking_doubled), false not_run $(number "$file" false_not_run)"
    if ((status != 0)); then
        fail "load $1 ended with status $status"
    fi
    # In calm load nothing is wrong anywhere, so a refused or lost request is a fault.
    if [[ $1 == calm ]] && (($(number "$file" whole) < $(number "$file" sent))); then
        fail "load calm got $(number "$file" whole) whole answers to $(number "$file" sent) requests"
    fi
    if (($(number "$file" whole) == 0)); then
        fail "load $1 got no whole answer"
    fi
}

start_system() {
    SECRET=$(openssl rand -hex 16)
    openssl rand -hex 16 | tr -d '\n' >"$WORK/token"
    TOKEN_HASH=$(openssl dgst -sha256 -r "$WORK/token" | cut -d' ' -f1)
    start standin "$BUILD/lacewinglock-standin" --endpoints "$EXAMPLE/endpoints.json" --groups "$EXAMPLE/groups.json" --platform_port "$PLATFORM_PORT"
    wait_for "$PLATFORM/instances"
    for ((i = 1; i <= DAEMONS; i++)); do
        write_settings "$i"
        start "daemon-$i" "$BUILD/lacewinglockd" --settings "$WORK/daemon-$i.json"
        register "$i"
    done
    for ((i = 1; i <= DAEMONS; i++)); do
        wait_for "http://$(caller_address "$i")/v1/addresses"
    done
    row "started" "platform, $(curl -s "$PLATFORM/endpoints" | grep -o '"id"' | wc -l) endpoints, $DAEMONS daemons in ${#DOMAINS[@]} failure domains"
}

# The roster gains one member per step, so the first configuration may have to wait for it.
configure_system() {
    local applied=0
    for ((try = 0; try < READY_SECONDS && applied == 0; try++)); do
        cli apply -f "$EXAMPLE" >"$WORK/apply.log" 2>&1 && applied=1 || sleep 1
    done
    ((applied)) || { cat "$WORK/apply.log"; fail "apply $EXAMPLE"; exit 1; }
    row "applied" "version $(number "$WORK/apply.log" version), $(text message <"$WORK/apply.log")"
}

# Creates a key for an organisation under an identifier and prints it.
create_key() {
    cli key create --organisation "$1" --id "$2" 2>"$WORK/key.log" | text key
}

create_keys() {
    local separator=""
    printf '{' >"$WORK/keys.json"
    for organisation in "${ORGANISATIONS[@]}"; do
        local key
        key=$(create_key "$organisation" "demo-$organisation") || { fail "key create: $(tail -n 1 "$WORK/key.log")"; exit 1; }
        printf '%s"%s": "%s"' "$separator" "$organisation" "$key" >>"$WORK/keys.json"
        separator=", "
    done
    printf '}\n' >>"$WORK/keys.json"
    row "keys" "one for each of ${#ORGANISATIONS[@]} organisations"
    wait_for_service "$(text "${ORGANISATIONS[0]}" <"$WORK/keys.json")"
}

# Waits until every daemon answers a completion.
wait_for_service() {
    for ((i = 1; i <= DAEMONS; i++)); do
        for ((try = 0; try < READY_SECONDS * 2; try++)); do
            [[ $(status_with_key "$1" "$i") == 200 ]] && continue 2
            sleep 0.5
        done
        fail "daemon $i answers no completion"
    done
}

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
