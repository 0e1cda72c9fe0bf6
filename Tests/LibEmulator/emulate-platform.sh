#!/usr/bin/env bash
# Tests `jujuberelay emulate platform` as a process. Usage: emulate-platform.sh <path of jujuberelay>
# Guards against output that scripts cannot parse, an exit code other than 0 after a signal, flags that have no effect,
# and wrong arguments that are accepted.
set -euo pipefail
program=$1
output=$(mktemp)
emulator=
cleanup() {
    [ -z "$emulator" ] || kill "$emulator" 2>/dev/null || true
    rm -f "$output"
}
trap cleanup EXIT

fail() {
    echo "emulate-platform: $1" >&2
    exit 1
}

start() {
    : >"$output"
    "$program" emulate platform "$@" >"$output" &
    emulator=$!
    for _ in $(seq 300); do
        [ "$(wc -l <"$output")" -ge 1 ] && break
        sleep 0.1
    done
    address=$(sed -n 's/^listening on \(127\.0\.0\.1:[0-9][0-9]*\)$/\1/p' "$output")
    [ -n "$address" ] || fail "no address in '$(cat "$output")'"
}

stop() {
    kill -s "$1" "$emulator"
    local code=0
    wait "$emulator" || code=$?
    emulator=
    [ "$code" -eq 0 ] || fail "exit code $code after SIG$1"
    [ "$(wc -l <"$output")" -eq 1 ] || fail "more than one line on standard output"
}

status() {
    curl -s -m 20 -o /dev/null -w '%{http_code}' "$@" || true
}

expect() {
    [ "$1" = "$2" ] || fail "$3: got '$1', expected '$2'"
}

start --writes_per_second=0.001 --platform_hosts=a=d1,b=d2
expect "$(status -X PUT -H 'If-None-Match: *' -d x "http://$address/v1/objects/a/1")" 200 "first write"
expect "$(status -X PUT -H 'If-None-Match: *' -d x "http://$address/v1/objects/a/2")" 429 "write above the rate"
expect "$(curl -s -m 20 "http://$address/v1/hosts" | jq -r '.[1].failure_domain')" d2 "host list"
expect "$(curl -s -m 20 "http://$address/control/counters" | jq .rate_limited)" 1 "counter"
curl -s -m 20 "http://$address/v1/watch?prefix=&since=1&timeout_ms=15000" >/dev/null &
watch=$!
while [ "$(curl -s -m 20 "http://$address/control/counters" | jq .waiting_watches)" != 1 ]; do sleep 0.1; done
stop TERM
wait "$watch" || true

start --listen=127.0.0.1:0 --watch_history=1
stop INT

for arguments in "platform extra" "platform --listen=localhost:0" "platform --platform_hosts=a" "platform --reads_per_second=-1" "other" ""; do
    code=0
    # shellcheck disable=SC2086 # The words are separate arguments.
    "$program" emulate $arguments >/dev/null 2>&1 || code=$?
    expect "$code" 2 "exit code of 'emulate $arguments'"
done
