#!/bin/bash
# Rolling upgrade of a fleet with a program in progress:
#	scripts/rolling-upgrade.sh OLD NEW
# OLD and NEW are build directories.  Starts 9 instances of OLD, applies a
# configuration, begins a program and places an order.  After the log has
# dropped its first records, each instance is stopped as planned and replaced
# by one of NEW; a turn of the program goes through each.  At the end the same
# order must get its stored answer and have had one effect.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -ne 2 ]; then
	echo "usage: scripts/rolling-upgrade.sh OLD NEW" >&2
	exit 2
fi
OLD=$1
NEW=$2
BIN=$NEW
OUT=$(mktemp -d)
OPERATOR=demo
INSTANCES="atl-1-1 atl-1-2 atl-1-3 atl-2-1 atl-2-2 atl-2-3 clt-1-1 clt-1-2 clt-1-3"
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
trap 'stop_all; rm -rf "$OUT"' EXIT
declare -A PIDOF

fail() {
	echo "FAILED: $*" >&2
	tail -n 5 "$OUT"/*.log >&2 || true
	exit 1
}

# run_instance BUILD NAME
run_instance() {
	BIN=$1 start_instance "$2"
	PIDOF[$2]=$(cat "$OUT/$2.pid")
	wait_url "http://$(ip_of "$2"):18081/healthz" 10
}

# chat INSTANCE BODY
chat() {
	curl -sS --max-time 30 -H "Authorization: Bearer $KEY" \
	    -H 'Content-Type: application/json' --data "$2" \
	    "http://$(ip_of "$1"):18080/v1/chat/completions"
}

# order KEY INSTANCE: prints the status.
order() {
	curl -sS -o "$OUT/order.txt" -w '%{http_code}' --max-time 30 -X POST \
	    -H "Authorization: Bearer $KEY" \
	    -H 'Content-Type: application/json' -H "Idempotency-Key: $1" \
	    -H "Samphireshed-Program: $PROGRAM" --data '{"sku":"paper"}' \
	    "http://$(ip_of "$2"):18080/v1/services/orders/orders"
}

start_standin log log 17000 --retention-seconds=20
start_standin members members 17001
for port in 17101 17102 17103 17104 17105 17106; do
	start_standin "engine-$port" engine $port --models=chat-large \
	    --token-ms=8 --answer-max=20 --load-lag-ms=300
done
start_standin orders service 17201
"$OLD/samphireshed" init --answers examples/demo/answers.yaml \
    --output "$OUT/generated" >/dev/null
od -An -tx1 -N32 /dev/urandom | tr -d ' \n' >"$OUT/generated/instances/fleet.key"
for name in $INSTANCES; do
	run_instance "$OLD" "$name"
done
ctl atl-1-1 config apply "$OUT/generated/objects.yaml" >/dev/null
ctl atl-1-1 --json key create distributor-georgia >"$OUT/key.json"
KEY=$(json_field key <"$OUT/key.json")
for name in $INSTANCES; do
	wait_url "http://$(ip_of "$name"):18081/readyz" 20
done
wait_shards 192
reply=$(chat atl-1-2 '{"model":"chat-large","max_tokens":8,
  "program":{"name":"reorder-agent"},
  "messages":[{"role":"user","content":"first"}]}')
PROGRAM=$(json_field program_id <<<"$reply")
[ -n "$PROGRAM" ] || fail "$reply"
status=$(order order-1 atl-1-1)
[ "$status" = 200 ] || fail "$(cat "$OUT/order.txt")"
echo "program $PROGRAM and an order on OLD"
sleep 25

turn=2
for name in $INSTANCES; do
	kill -TERM "${PIDOF[$name]}"
	wait "${PIDOF[$name]}" || fail "$name of OLD stopped with an error"
	run_instance "$NEW" "$name"
	wait_url "http://$(ip_of "$name"):18081/readyz" 20
	turn=$((turn + 1))
	# A new rate coordinator starts with an empty bucket: 429, not run.
	for _ in $(seq 8); do
		reply=$(chat "$name" "{\"model\":\"chat-large\",
		  \"max_tokens\":8,\"program_id\":\"$PROGRAM\",
		  \"messages\":[{\"role\":\"user\",\"content\":\"$name\"}]}")
		got=$(json_field turn <<<"$reply")
		[ "$got" = $turn ] && break
		echo "   $reply"
		sleep 1
	done
	[ "$got" = $turn ] || fail "turn $turn through $name: $reply"
	echo "$name replaced, turn $turn through it"
done
status=$(order order-1 clt-1-1)
[ "$status" = 200 ] || fail "$(cat "$OUT/order.txt")"
curl -sS http://127.0.0.1:17201/control/effects >"$OUT/effects.json"
effects=$(grep -o '"path":"/orders"' "$OUT/effects.json" | wc -l)
echo "the order again on NEW: $status, $effects effect"
[ "$effects" -eq 1 ] || fail "expected one effect"
if grep -hE 'event=(config_record_refused|config_snapshot_refused|peer_refused|fleet_record_undecodable)|shard_recovered.* proven=0' \
    "$OUT"/*.log; then
	fail "a record or a message was refused, or a recovery was not proven"
fi
echo "rolling upgrade passed"
