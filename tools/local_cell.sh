# Shell functions that run the stand-ins and some daemons on loopback. Sourced by demo/run.sh and the scripts in bench/,
# with the build directory as first argument.
BUILD=${1:?usage: $0 BUILD_DIR}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

# Settings that the environment may override.
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
RATE=${RATE:-15}
USAGE_WINDOW=${USAGE_WINDOW:-20}
USAGE_GRACE=${USAGE_GRACE:-5}
READY_SECONDS=${READY_SECONDS:-30}

WORK=$(mktemp -d)
PLATFORM=http://$HOST:$PLATFORM_PORT
declare -A PROCESSES # Process id by name, only of processes started here.
declare -a ROWS=()
FAILED=0

note() { printf '%s  %s\n' "$(date +%T)" "$*"; }
row() { ROWS+=("$(printf '%-34s %s' "$1" "$2")"); }
fail() { FAILED=1; row "FAILED" "$*"; note "failed: $*"; }

# Stops the daemons and load generators, or all processes: SIGTERM, then SIGKILL after a timeout. Usage: stop_processes daemons|all SECONDS
stop_processes() {
    local which=$1 limit=$2 name running
    local -a selected=()
    for name in "${!PROCESSES[@]}"; do
        case $name in
            daemon-* | load-*) selected+=("$name") ;;
            *) [[ $which == all ]] && selected+=("$name") ;;
        esac
    done
    for name in "${selected[@]}"; do
        kill -TERM "${PROCESSES[$name]}" 2>/dev/null || true
    done
    for ((try = 0; try < limit * 10; try++)); do
        running=0
        for name in "${selected[@]}"; do
            kill -0 "${PROCESSES[$name]}" 2>/dev/null && running=1
        done
        ((running == 0)) && break
        sleep 0.1
    done
    for name in "${selected[@]}"; do
        kill -KILL "${PROCESSES[$name]}" 2>/dev/null || true
        wait "${PROCESSES[$name]}" 2>/dev/null || true
        unset "PROCESSES[$name]"
    done
}

clean_up() {
    local status=$?
    trap - EXIT INT TERM
    [[ -n ${WATCHDOG:-} ]] && kill "$WATCHDOG" 2>/dev/null || true
    # The daemons stop first because they still hand over leases and write usage through the platform.
    stop_processes daemons 25
    stop_processes all 5
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
trap clean_up EXIT
trap 'exit 1' INT TERM

# Starts a program in the background. Its output goes to NAME.log. Usage: start NAME PROGRAM ARGUMENTS...
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

write_daemon_settings() {
    cat >"$WORK/daemon-$1.json" <<JSON
{"instance_id": "entry-$1", "cell": "main", "failure_domain": "$(domain_of "$1")",
 "caller": "$(caller_address "$1")", "peer": "$(peer_address "$1")",
 "platform": "$HOST:$PLATFORM_PORT", "cluster_secret": "$SECRET", "operator_token_hash": "$TOKEN_HASH",
 "usage_window_seconds": $USAGE_WINDOW, "usage_grace_seconds": $USAGE_GRACE, "caller_threads": ${CALLER_THREADS:-256},
 "decision_log": "$WORK/decisions-$1.jsonl"}
JSON
}

register_instance() {
    post "$PLATFORM/instances" "{\"id\": \"entry-$1\", \"address\": \"$(peer_address "$1")\", \"caller_address\": \"$(caller_address "$1")\",
        \"failure_domain\": \"$(domain_of "$1")\", \"leaving\": ${2:-false}}"
}

# Waits until a URL gives any HTTP response.
wait_for_http() {
    for ((try = 0; try < READY_SECONDS * 5; try++)); do
        curl -s -m 1 -o /dev/null "$1" && return 0
        sleep 0.2
    done
    note "no HTTP response from $1"
    return 1
}

# Prints the HTTP status of a short completion. Usage: status_with_key KEY DAEMON_NUMBER
status_with_key() {
    curl -s -m 10 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $1" -H 'Content-Type: application/json' \
        -d "{\"model\": \"$MODEL\", \"prompt\": \"pulley\", \"max_tokens\": 4}" "http://$(caller_address "$2")/v1/completions" || true
}

# Prints a string field of the JSON on standard input.
json_text() { grep -oE "\"$1\": *\"[^\"]*\"" | head -n 1 | sed -E 's/^"[^"]*": *"(.*)"$/\1/'; }

# Prints an integer field of a JSON file; 0 without one. Usage: json_number FILE FIELD
json_number() { grep -oE "\"$2\": *-?[0-9]+" "$1" | head -n 1 | grep -oE '[-0-9]+$' || echo 0; }

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

# Starts a load generator in the background. Usage: start_load NAME SECONDS SEED
start_load() {
    start "load-$1" "$BUILD/lacewinglock" load --servers "$(server_list)" --keys "$WORK/keys.json" --models "$MODEL" --rate "$RATE" \
        --seconds "$2" --seed "$3" --booking_path "$BOOKING_PATH" --execution_servers "$(service_addresses)" --json "$WORK/load-$1.json"
}

# Waits for a load generator and adds its results to the table. Usage: end_load NAME
end_load() {
    local status=0 file=$WORK/load-$1.json
    wait "${PROCESSES[load-$1]}" || status=$?
    unset "PROCESSES[load-$1]"
    if [[ ! -s $file ]]; then
        fail "load $1 wrote no summary (exit status $status)"
        return
    fi
    row "load: $1" "sent $(json_number "$file" sent), complete $(json_number "$file" whole), on time $(json_number "$file" timely) of $(json_number "$file" streams_answered) streams, reconnected $(json_number "$file" reconnected), lost $(json_number "$file" lost)"
    row "  refused" "$(tr -d '\n ' <"$file" | grep -oE '"refused":\{[^}]*\}' || echo none)"
    row "  wrong / truncated / duplicated" "$(json_number "$file" wrong) / $(json_number "$file" cut) / $(json_number "$file" doubled)"
    row "  bookings" "$(json_number "$file" bookings), executed twice $(json_number "$file" booking_doubled), false not_run $(json_number "$file" false_not_run)"
    if ((status != 0)); then
        fail "load $1 exited with status $status"
    fi
    # No failure is injected during the calm load, so any refused or lost request is a fault.
    if [[ $1 == calm ]] && (($(json_number "$file" whole) < $(json_number "$file" sent))); then
        fail "load calm got $(json_number "$file" whole) complete responses to $(json_number "$file" sent) requests"
    fi
    if (($(json_number "$file" whole) == 0)); then
        fail "load $1 got no complete response"
    fi
}

start_system() {
    SECRET=$(openssl rand -hex 16)
    openssl rand -hex 16 | tr -d '\n' >"$WORK/token"
    TOKEN_HASH=$(openssl dgst -sha256 -r "$WORK/token" | cut -d' ' -f1)
    start standin "$BUILD/lacewinglock-standin" --endpoints "$EXAMPLE/endpoints.json" --groups "$EXAMPLE/groups.json" --platform_port "$PLATFORM_PORT"
    wait_for_http "$PLATFORM/instances"
    for ((i = 1; i <= DAEMONS; i++)); do
        write_daemon_settings "$i"
        start "daemon-$i" "$BUILD/lacewinglockd" --settings "$WORK/daemon-$i.json"
        register_instance "$i"
    done
    for ((i = 1; i <= DAEMONS; i++)); do
        wait_for_http "http://$(caller_address "$i")/v1/addresses"
    done
    row "started" "platform, $(curl -s "$PLATFORM/endpoints" | grep -o '"id"' | wc -l) endpoints, $DAEMONS daemons in ${#DOMAINS[@]} failure domains"
}

# Applies the example configuration. The roster admits one member at a time, so the first attempts may fail until it has grown.
configure_system() {
    local applied=0
    for ((try = 0; try < READY_SECONDS && applied == 0; try++)); do
        cli apply -f "$EXAMPLE" >"$WORK/apply.log" 2>&1 && applied=1 || sleep 1
    done
    ((applied)) || { cat "$WORK/apply.log"; fail "the configuration in $EXAMPLE could not be applied"; exit 1; }
    row "configuration" "version $(json_number "$WORK/apply.log" version), $(json_text message <"$WORK/apply.log")"
}

# Creates a key and prints it. Usage: create_key ORGANISATION ID
create_key() {
    cli key create --organisation "$1" --id "$2" 2>"$WORK/key.log" | json_text key
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
    wait_for_service "$(json_text "${ORGANISATIONS[0]}" <"$WORK/keys.json")"
}

# Waits until every daemon answers a completion with status 200. Usage: wait_for_service KEY
wait_for_service() {
    for ((i = 1; i <= DAEMONS; i++)); do
        for ((try = 0; try < READY_SECONDS * 2; try++)); do
            [[ $(status_with_key "$1" "$i") == 200 ]] && continue 2
            sleep 0.5
        done
        fail "daemon $i answered no completion with status 200"
    done
}
