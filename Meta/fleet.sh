#!/usr/bin/env bash
# Starts a small fleet on loopback ports chosen by the kernel. Usage: Meta/fleet.sh demo|run <folder with the binaries>
#   demo: applies a note, sends requests, prints answers, bills and the budget, stops everything, ends with "demo: ok"
#   run:  leaves the fleet up until it is interrupted and prints the addresses
set -euo pipefail

mode=$1
bin=$2
top=$(cd "$(dirname "$0")/.." && pwd)
source "$top/Meta/fleet-functions.sh"

fleet_start "$bin" 3 3 1
fleet_write_note "$work/first-note.yaml" 0
"$bin/jujuberelay" note apply "$work/first-note.yaml" --daemon="$(daemon_operator 1)" --operator_key_file="$work/operator.key"

if [ "$mode" = run ]; then
    for number in 1 2 3; do
        echo "daemon entry-$number: callers http://$(daemon_caller "$number") operators http://$(daemon_operator "$number")"
    done
    echo "platform: http://$platform"
    echo "try: curl -N http://$(daemon_caller 1)/v1/chat/completions -H 'Authorization: Bearer demo-key' -d '{\"model\":\"quote\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"A quotation for twelve satchels\"}]}'"
    echo "operator key file: $work/operator.key; stop with Ctrl-C"
    trap 'exit 0' INT TERM
    while true; do sleep 1; done
fi

echo "--- a streamed answer from entry-1"
curl -sSN --max-time 20 "http://$(daemon_caller 1)/v1/chat/completions" -H "Authorization: Bearer demo-key" \
    -d '{"model":"quote","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"A quotation for twelve satchels"}]}' | tee "$work/stream.txt"
grep -q '^data: \[DONE\]' "$work/stream.txt"

echo "--- a whole answer from entry-2"
curl -sS --max-time 20 "http://$(daemon_caller 2)/v1/chat/completions" -H "Authorization: Bearer demo-key" \
    -d '{"model":"quote","max_tokens":4,"messages":[{"role":"user","content":"A summary of last year"}]}' | tee "$work/whole.txt"
echo
grep -q '"finish_reason"' "$work/whole.txt"

echo "--- an order sent twice with the same key, to entry-1 and entry-3"
for number in 1 3; do
    curl -sS --max-time 20 "http://$(daemon_caller "$number")/services/orders/confirm" -H "Authorization: Bearer demo-key" \
        -H "Idempotency-Key: order-4711" -d '{"hides":12}' | tee "$work/order-$number.txt"
    echo
done
cmp "$work/order-1.txt" "$work/order-3.txt"

echo "--- bills and the remaining budget"
"$bin/jujuberelay" status --daemon="$(daemon_operator 2)" --operator_key_file="$work/operator.key"
fleet_stop_daemons
fleet_audit
echo "demo: ok"
