# Shell functions that run the stand-ins and some daemons on loopback. Sourced by demo/run.sh and the scripts in bench/,
# with the build directory as first argument. Everything at the top may be changed from the environment.
BUILD=${1:?usage: $0 BUILD_DIR}
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

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
RATE=${RATE:-15}
USAGE_WINDOW=${USAGE_WINDOW:-20}
USAGE_GRACE=${USAGE_GRACE:-5}
READY_SECONDS=${READY_SECONDS:-30}

WORK=$(mktemp -d)
PLATFORM=http://$HOST:$PLATFORM_PORT
declare -A PROCESSES # Name to process id, only of processes started here.
declare -a ROWS=()
FAILED=0

note() { printf '%s  %s\n' "$(date +%T)" "$*"; }
row() { ROWS+=("$(printf '%-34s %s' "$1" "$2")"); }
fail() { FAILED=1; row "FAILED" "$*"; note "failed: $*"; }

# Ends the daemons and loads, or all processes: SIGTERM, then SIGKILL after a number of seconds. Usage: stop_processes daemons|all SECONDS
stop_processes() {
    local which=$1 limit=$2 name left
    local -a chosen=()
    for name in "${!PROCESSES[@]}"; do
        case $name in
            daemon-* | load-*) chosen+=("$name") ;;
            *) [[ $which == all ]] && chosen+=("$name") ;;
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

write_settings() {
    cat >"$WORK/daemon-$1.json" <<JSON
{"instance_id": "entry-$1", "cell": "main", "failure_domain": "$(domain_of "$1")",
 "caller": "$(caller_address "$1")", "peer": "$(peer_address "$1")",
 "platform": "$HOST:$PLATFORM_PORT", "cluster_secret": "$SECRET", "operator_token_hash": "$TOKEN_HASH",
 "usage_window_seconds": $USAGE_WINDOW, "usage_grace_seconds": $USAGE_GRACE, "caller_threads": ${CALLER_THREADS:-256},
 "decision_log": "$WORK/decisions-$1.jsonl"}
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
    row "load: $1" "sent $(number "$file" sent), whole $(number "$file" whole), timely $(number "$file" timely) of $(number "$file" streams_answered) streams, reconnected $(number "$file" reconnected), lost $(number "$file" lost)"
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
