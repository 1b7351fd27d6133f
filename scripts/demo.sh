#!/bin/bash
# Run a real agent program through a small fleet: 9 instances in 3 data
# centres, engines of different speeds, an order service, the platform's log
# and member list as stand-ins.  One instance, the program's owner, is killed
# on the way.  Exits with 0 only if every turn came in order and every
# purchase order took effect exactly once.  All processes are stopped.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=${SAMPHIRESHED_BUILD:-build}
OUT=${DEMO_OUT:-demo-out}
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
rm -rf "$OUT"
mkdir -p "$OUT"
trap stop_all EXIT

OPERATOR=demo
INSTANCES="atl-1-1 atl-1-2 atl-1-3 atl-2-1 atl-2-2 atl-2-3 clt-1-1 clt-1-2 clt-1-3"

# call INSTANCE METHOD PATH BODY [CURL OPTION...]: print the reply's body and
# leave its status in $STATUS.  A request that was refused because of the
# organisation's rate (429, not run) waits and is sent again.
call() {
	local url reply
	url="http://$(ip_of "$1"):18080$3"
	reply="$OUT/reply-$BASHPID"
	local method=$2 body=$4
	shift 4
	for _ in $(seq 8); do
		STATUS=$(curl -sS --max-time 30 -X "$method" -o "$reply" \
		    -w '%{http_code}' -H "Authorization: Bearer $KEY" \
		    -H 'Content-Type: application/json' --data "$body" \
		    "$@" "$url")
		[ "$STATUS" = 429 ] || break
		echo "$url" >>"$OUT/waits.txt"
		sleep 1
	done
	cat "$reply"
	rm -f "$reply"
}

fail() {
	echo "FAILED: $*" >&2
	tail -n 5 "$OUT"/*.log >&2 || true
	exit 1
}

echo "== stand-ins: platform log, member list, 6 engines, order service"
start_standin log log 17000
start_standin members members 17001
port=17100
for speed in 8 20 10 25 12 30; do
	port=$((port + 1))
	start_standin "engine-$port" engine $port --models=chat-large \
	    --token-ms=$speed --answer-max=40 --load-lag-ms=300 \
	    --event-lag-ms=500 --event-gap=7
done
start_standin orders service 17201

echo "== generate the configuration from the questionnaire"
"$BIN/samphireshed" init --answers examples/demo/answers.yaml \
    --output "$OUT/generated"
od -An -tx1 -N32 /dev/urandom | tr -d ' \n' >"$OUT/generated/instances/fleet.key"
"$BIN/samphireshed" check --objects "$OUT/generated/objects.yaml"

echo "== start 9 instances in 3 data centres"
for name in $INSTANCES; do
	start_instance "$name"
done
for name in $INSTANCES; do
	wait_url "http://$(ip_of "$name"):18081/healthz" 10
done

echo "== an operator publishes the configuration and makes a key"
ctl atl-1-1 config apply "$OUT/generated/objects.yaml" >"$OUT/apply.txt"
ctl atl-1-1 --json key create distributor-georgia >"$OUT/key.json"
KEY=$(json_field key <"$OUT/key.json")
for name in $INSTANCES; do
	wait_url "http://$(ip_of "$name"):18081/readyz" 20
done
wait_shards 192
echo "   $owned of 192 shards have an owner"
[ "$owned" -ge 192 ] || fail "shards without an owner"

echo "== turn 1, streamed, through atl-1-2"
call atl-1-2 POST /v1/chat/completions '{"model":"chat-large","stream":true,
  "max_tokens":24,"program":{"name":"reorder-agent"},"messages":[
  {"role":"user","content":"What should the Macon distributor reorder?"}]}' \
    -D "$OUT/head.txt" >"$OUT/turn1.txt"
grep -q 'data: \[DONE\]' "$OUT/turn1.txt" || fail "turn 1 has no end"
PROGRAM=$(sed -n 's/^Samphireshed-Program: \([^\r]*\).*/\1/p' "$OUT/head.txt")
echo "   program $PROGRAM, $(grep -c '^data: ' "$OUT/turn1.txt") events"

# turn NUMBER INSTANCE TEXT
turn() {
	local got
	call "$2" POST /v1/chat/completions "{\"model\":\"chat-large\",
	  \"max_tokens\":16,\"program_id\":\"$PROGRAM\",\"turn\":$1,
	  \"messages\":[{\"role\":\"user\",\"content\":\"$3\"}]}" \
	    >"$OUT/turn$1.txt"
	got=$(json_field turn <"$OUT/turn$1.txt")
	[ "$got" = "$1" ] || fail "turn $1 through $2: $(cat "$OUT/turn$1.txt")"
	echo "   turn $1 through $2"
}

# order KEY INSTANCE: a purchase order, which must not be placed twice.
order() {
	call "$2" POST /v1/services/orders/orders '{"sku":"toner-7","quantity":3}' \
	    -H "Idempotency-Key: $1" -H "Samphireshed-Program: $PROGRAM" \
	    >"$OUT/order.txt"
	echo "$STATUS"
}

# Every call of the program makes a turn: the order is number 3.
echo "== a purchase order, and the same one again in another data centre"
turn 2 clt-1-3 "And the quantity?"
first=$(order order-1 atl-2-1)
again=$(order order-1 clt-1-1)
echo "   HTTP status $first, then $again"
[ "$first" = 200 ] && [ "$again" = 200 ] || fail "$(cat "$OUT/order.txt")"

echo "== kill -9 the instance that owns the program"
OWNER=$({ ctl atl-1-1 program show "$PROGRAM" 2>&1 || true; } | sed -n \
    "s/.*owner is \([a-z0-9-]*\).*/\1/p")
OWNER=${OWNER:-atl-1-1}
kill -KILL "$(cat "$OUT/$OWNER.pid")"
echo "   killed $OWNER"
ENTRY=clt-1-2
started=$(date +%s%N)
turn 4 "$ENTRY" "Order it."
echo "   served $((($(date +%s%N) - started) / 1000000)) ms after the kill"

echo "== the same order after the owner's death, and a new one"
again=$(order order-1 atl-2-3)
second=$(order order-2 atl-2-2)
echo "   HTTP status $again for the repeat, $second for the new order"
[ "$again" = 200 ] && [ "$second" = 200 ] || fail "$(cat "$OUT/order.txt")"
turn 6 atl-2-2 "Thanks."

# One death must leave a proven state: a holder that never got the state of a
# shard without calls made its recovery unproven.
if grep -h 'event=shard_recovered.* proven=0' "$OUT"/*.log; then
	fail "a shard was recovered without proof after one death"
fi

echo "== ten programs at once, through every data centre"
run_program() {
	local program number entry
	program=$(call atl-2-1 POST /v1/programs '{"name":"stock-check"}' |
	    json_field program_id)
	for number in 1 2 3; do
		for entry in atl-2-2 clt-1-1; do
			call $entry GET /v1/services/orders/stock '' \
			    >/dev/null
		done
		call atl-2-3 POST /v1/chat/completions "{\"model\":\"chat-large\",
		  \"max_tokens\":8,\"program_id\":\"$program\",\"messages\":[
		  {\"role\":\"user\",\"content\":\"Stock of toner?\"}]}" \
		    >"$OUT/program-$1-$number.txt"
		json_field turn <"$OUT/program-$1-$number.txt" | tr '\n' ' '
	done
	call clt-1-2 POST /v1/services/orders/orders '{"sku":"paper"}' \
	    -H "Idempotency-Key: many-$1" -H "Samphireshed-Program: $program" \
	    >/dev/null
	echo "$STATUS"
}
jobs_pids=""
for i in $(seq 10); do
	run_program "$i" >"$OUT/program-$i.txt" 2>&1 &
	jobs_pids="$jobs_pids $!"
done
for pid in $jobs_pids; do
	wait "$pid"
done
for i in $(seq 10); do
	[ "$(cat "$OUT/program-$i.txt")" = "1 2 3 200" ] ||
	    fail "program $i: $(cat "$OUT/program-$i.txt")"
done
echo "   turns 1, 2, 3 in order and one order for each of 10 programs"

touch "$OUT/waits.txt"
echo "   $(wc -l <"$OUT/waits.txt") requests were told to wait by the rate"

echo "== effects that the order service counted"
curl -sS http://127.0.0.1:17201/control/effects >"$OUT/effects.json"
posted=$(grep -o '"path":"/orders"' "$OUT/effects.json" | wc -l)
echo "   $posted purchase orders for 12 keys"
[ "$posted" -eq 12 ] || fail "expected 12 effects"

echo "== planned stop of every instance"
for name in $INSTANCES; do
	[ "$name" = "$OWNER" ] || kill -TERM "$(cat "$OUT/$name.pid")"
done
for name in $INSTANCES; do
	[ "$name" = "$OWNER" ] && continue
	wait "$(cat "$OUT/$name.pid")" || fail "$name stopped with an error"
done
echo "demo passed"
