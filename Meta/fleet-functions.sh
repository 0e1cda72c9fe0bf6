# Functions that start, stop and audit a small fleet; sourced by Meta/fleet.sh and the tests of whole sessions.

work=$(mktemp -d)
declare -A process_ids=()
platform=""

fleet_cleanup() {
    local status=$?
    trap - EXIT
    for name in "${!process_ids[@]}"; do
        kill -CONT "${process_ids[$name]}" 2>/dev/null || true
        kill -KILL "${process_ids[$name]}" 2>/dev/null || true
    done
    if [ $status -ne 0 ]; then
        echo "failed with status $status; the last lines of the logs:" >&2
        tail -n 8 "$work"/*.log >&2 || true
    fi
    rm -rf "$work"
    exit $status
}
trap fleet_cleanup EXIT

# Starts a process in the background and waits for its first line of output.
start_process() {
    local name=$1
    shift
    : >"$work/$name.out"
    "$@" >"$work/$name.out" 2>>"$work/$name.log" &
    process_ids[$name]=$!
    for _ in $(seq 200); do
        [ -s "$work/$name.out" ] && return
        kill -0 "${process_ids[$name]}" 2>/dev/null || break
        sleep 0.05
    done
    echo "$name did not start" >&2
    return 1
}

# The address in "listening on IP:PORT".
listen_address() {
    sed -n 's/^listening on //p' "$work/$1.out"
}

daemon_caller() { sed -n 's/.*caller=\([^ ]*\).*/\1/p' "$work/entry-$1.out"; }
daemon_operator() { sed -n 's/.*operator=\([^ ]*\).*/\1/p' "$work/entry-$1.out"; }

# Starts daemon entry-<number>. The optional second argument names the addresses' line of an earlier process, whose
# ports are used again.
start_daemon() {
    local number=$1 caller=127.0.0.1:0 peer=127.0.0.1:0 operator=127.0.0.1:0
    local binary="$fleet_bin/jujuberelayd"
    if [ "${2:-}" = same-ports ]; then
        caller=$(sed -n 's/.*caller=\([^ ]*\).*/\1/p' "$work/entry-$number.out")
        peer=$(sed -n 's/.*peer=\([^ ]*\).*/\1/p' "$work/entry-$number.out")
        operator=$(sed -n 's/.*operator=\([^ ]*\).*/\1/p' "$work/entry-$number.out")
    fi
    cat >"$work/entry-$number.yaml" <<SETTINGS
host: entry-$number
failure_domain: domain-$(((number - 1) % 3 + 1))
region: region-1
caller_address: $caller
peer_address: $peer
operator_address: $operator
platform_address: $platform
peer_key: demo-peer-key
operator_key_sha256: $(sha256_of demo-operator-key)
shard_count: 4
${daemon_settings:-}
SETTINGS
    start_process "entry-$number" "$binary" --settings="$work/entry-$number.yaml"
}

sha256_of() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# fleet_start <folder with the binaries> <daemons> <engines> <services>
fleet_start() {
    fleet_bin=$1
    fleet_daemons=$2
    fleet_engines=$3
    fleet_services=$4
    printf 'demo-operator-key' >"$work/operator.key"
    start_process platform "$fleet_bin/jujuberelay" emulate platform --listen=127.0.0.1:0 ${platform_flags:-}
    platform=$(listen_address platform)
    for number in $(seq "$fleet_engines"); do
        start_process "engine-$number" "$fleet_bin/jujuberelay" emulate engine --listen=127.0.0.1:0 ${engine_flags:-}
    done
    for number in $(seq "$fleet_services"); do
        start_process "service-$number" "$fleet_bin/jujuberelay" emulate service --listen=127.0.0.1:0 ${service_flags:-}
    done
    for number in $(seq "$fleet_daemons"); do
        start_daemon "$number"
    done
    fleet_wait_ready
}

# Waits until all daemons have a state and know each other.
fleet_wait_ready() {
    for number in $(seq "$fleet_daemons"); do
        for _ in $(seq 200); do
            curl -sf --max-time 1 "http://$(daemon_caller "$number")/readyz" >/dev/null && break
            sleep 0.05
        done
    done
}

# fleet_write_note <file> <generation> [tokens]
fleet_write_note() {
    {
        cat <<NOTE
note:
  from_generation: $2
  author: demo
  reason: first configuration
added:
  workspaces:
    - name: satchel-orders
      priority: 1
  budgets:
    - workspace: satchel-orders
      name: default
  top_ups:
    - id: purchase-1
      workspace: satchel-orders
      budget: default
      tokens: ${3:-100000}
  keys:
    - sha256: $(sha256_of demo-key)
      workspace: satchel-orders
      budget: default
  models:
    - name: quote
      max_output_tokens: 256
      bytes_per_token: 4
  endpoints:
NOTE
        for number in $(seq "$fleet_engines"); do
            cat <<NOTE
    - name: engine-$number
      kind: engine
      address: $(listen_address "engine-$number")
      failure_domain: domain-$(((number - 1) % 3 + 1))
      models: [quote]
NOTE
        done
        for number in $(seq "$fleet_services"); do
            cat <<NOTE
    - name: order-desk-$number
      kind: service
      address: $(listen_address "service-$number")
      failure_domain: domain-$(((number - 1) % 3 + 1))
NOTE
        done
        echo "  services:"
        echo "    - name: orders"
        echo "      endpoints: [$(seq -f 'order-desk-%g' -s ', ' "$fleet_services")]"
        echo "      is_repeatable: false"
        echo "      price_tokens: 10"
    } >"$1"
}

# Sends SIGTERM to a process and requires exit status 0.
stop_process() {
    local id=${process_ids[$1]}
    kill -TERM "$id"
    wait "$id"
    unset "process_ids[$1]"
}

fleet_stop_daemons() {
    for number in $(seq "$fleet_daemons"); do
        [ -n "${process_ids[entry-$number]:-}" ] && stop_process "entry-$number"
    done
    return 0
}

# Compares the platform's ledger with what engines and services counted; see Meta/audit.py.
fleet_audit() {
    local sources=()
    for number in $(seq "$fleet_engines"); do sources+=("--engine=$(listen_address "engine-$number")"); done
    for number in $(seq "$fleet_services"); do sources+=("--service=$(listen_address "service-$number")"); done
    python3 "$top/Meta/audit.py" --platform="$platform" "${sources[@]}" "$@"
}
