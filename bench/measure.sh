#!/bin/bash
# Put an open-loop load on the fleet of scripts/demo.sh and print, for each
# rate, the tables of bench/load.c and the processor time and memory of the
# daemons at idle and under load.  All engines have the same speed here, so
# that calls made directly and calls through the fleet meet the same engines.
# All processes are stopped at the end.
#
#	bench/measure.sh [SECONDS [RATE...]]	programs a second, 3 turns each
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=${SAMPHIRESHED_BUILD:-build}
OUT=${MEASURE_OUT:-demo-out/measure}
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
SECONDS_EACH=${1:-15}
shift || true
RATES=("$@")
[ ${#RATES[@]} -gt 0 ] || RATES=(5 10 20)
rm -rf "$OUT"
mkdir -p "$OUT"
trap stop_all EXIT

OPERATOR=measure
INSTANCES="atl-1-1 atl-1-2 atl-1-3 atl-2-1 atl-2-2 atl-2-3 clt-1-1 clt-1-2 clt-1-3"
HZ=$(getconf CLK_TCK)

# snapshot FILE: name, processor time in ticks and resident memory in KB.
snapshot() {
	local name pid
	for name in $INSTANCES; do
		pid=$(cat "$OUT/$name.pid")
		echo "$name $(awk '{print $14 + $15}' "/proc/$pid/stat")" \
		    "$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")"
	done >"$1"
}

# report BEFORE AFTER SECONDS: a row for each daemon and their sum.
report() {
	paste -d ' ' "$1" "$2" | awk -v hz="$HZ" -v s="$3" '
	    { c = ($5 - $2) / hz; t += c; m += $6
	      printf "| %s | %.2f | %.1f |\n", $1, 100 * c / s, $6 / 1024 }
	    END { printf "| sum of 9 | %.2f | %.1f |\n", 100 * t / s, m / 1024 }'
}

# Other addresses than those of the demo, which may run at the same time.
mkdir -p "$OUT/answers"
sed -e 's/127\.31\./127.77./; s/127\.0\.0\.1:17/127.0.0.1:27/' \
    examples/demo/answers.yaml >"$OUT/answers/answers.yaml"
start_standin log log 27000
start_standin members members 27001
for port in 27101 27102 27103 27104 27105 27106; do
	start_standin "engine-$port" engine $port --models=chat-large \
	    --token-ms=10 --answer-max=40 --load-lag-ms=300 --event-lag-ms=500
done
start_standin orders service 27201
"$BIN/samphireshed" init --answers "$OUT/answers/answers.yaml" \
    --output "$OUT/generated" >/dev/null
od -An -tx1 -N32 /dev/urandom | tr -d ' \n' \
    >"$OUT/generated/instances/fleet.key"
# The rates of the example would refuse the load.
sed -e 's/"rate": *[0-9.]*/"rate":3000/; s/"burst": *[0-9]*/"burst":3000/' \
    -e 's/\(rate\|burst\): *[0-9.]\+/\1: 3000/g' \
    "$OUT/generated/objects.yaml" >"$OUT/objects.yaml"
for name in $INSTANCES; do
	start_instance "$name"
done
for name in $INSTANCES; do
	wait_url "http://$(ip_of "$name"):18081/healthz" 10
done
ctl atl-1-1 config apply "$OUT/objects.yaml" >"$OUT/apply.txt"
for organisation in distributor-georgia warehouse-atlanta; do
	echo "$(ctl atl-1-1 --json key create $organisation |
	    json_field key) $organisation"
done >"$OUT/keys.txt"
instances=()
for name in $INSTANCES; do
	wait_url "http://$(ip_of "$name"):18081/readyz" 20
	instances+=("--instance=http://$(ip_of "$name"):18080")
done
wait_shards 192
echo "$owned of 192 shards have an owner"
sleep 3

# sum_of FILE: ticks of all daemons.
sum_of() {
	awk '{ t += $2 } END { print t }' "$1"
}

# summary TITLE SECONDS: remember calls and processor time of one run.
summary() {
	local calls
	calls=$(awk -F '|' '/^\| all organisations/ {print $5 + 0}' "$OUT/table")
	echo "$1|$(($(sum_of "$OUT/after") - $(sum_of "$OUT/before")))|$2|$calls" \
	    >>"$OUT/summary"
}

# run TITLE LOAD-OPTION...
run() {
	local title=$1 started ended
	shift
	echo
	echo "## $title"
	echo
	snapshot "$OUT/before"
	started=$(date +%s.%N)
	if [ $# -eq 0 ]; then
		sleep "$SECONDS_EACH"
	else
		"$BIN/bench/load" "${instances[@]}" --key-file "$OUT/keys.txt" \
		    --seconds "$SECONDS_EACH" --seed 1 "$@" | tee "$OUT/table"
	fi
	ended=$(date +%s.%N)
	snapshot "$OUT/after"
	echo
	echo "| daemon | core % | resident MB |"
	echo "|---|---|---|"
	report "$OUT/before" "$OUT/after" \
	    "$(echo "$ended $started" | awk '{print $1 - $2}')"
	[ $# -gt 0 ] || : >"$OUT/table"
	summary "$title" "$(echo "$ended $started" | awk '{print $1 - $2}')"
}

run "idle"
for rate in "${RATES[@]}"; do
	run "$rate programs/s, 3 turns" --rate "$rate" --turns 3 \
	    --think-ms 200 --service /v1/services/orders/orders \
	    --service-share 0.2
done
run "added latency: ${RATES[0]} programs/s, 1 turn, the same directly" \
    --rate "${RATES[0]}" --turns 1 --direct http://127.0.0.1:27101 \
    --direct http://127.0.0.1:27102 --direct http://127.0.0.1:27103 \
    --direct http://127.0.0.1:27104 --direct http://127.0.0.1:27105 \
    --direct http://127.0.0.1:27106
run "idle afterwards"

# The first row is the idle fleet, whose processor time is taken off.
echo
echo "## summary"
echo
echo "| run | calls/s | cores of 9 daemons | ms a call beyond idle | calls/s a core |"
echo "|---|---|---|---|---|"
awk -F '|' -v hz="$HZ" '
    { cores = $2 / hz / $3; rate = $4 / $3
      if (NR == 1) idle = cores
      more = cores - idle
      if (rate > 0 && more > 0)
	printf "| %s | %.1f | %.4f | %.2f | %.0f |\n", $1, rate, cores,
	    1000 * more / rate, rate / more
      else
	printf "| %s | %.1f | %.4f | | |\n", $1, rate, cores }' "$OUT/summary"
