# Functions that start and stop a small fleet with its stand-ins, for
# demo.sh and bench/measure.sh.  The including script sets OUT, a directory
# for generated files and logs, BIN, the directory of the programs, INSTANCES,
# the names of the instances, and OPERATOR, who acts in the operators' client.

PIDS=""

# Remember a process to be ended by stop_all.
note_pid() {
	PIDS="$PIDS $1"
}

stop_all() {
	for pid in $PIDS; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in $PIDS; do
		for _ in $(seq 100); do
			kill -0 "$pid" 2>/dev/null || break
			sleep 0.1
		done
		kill -KILL "$pid" 2>/dev/null || true
		wait "$pid" 2>/dev/null || true
	done
	PIDS=""
}

# start_standin NAME KIND PORT [OPTION...]
start_standin() {
	local name=$1 kind=$2 port=$3
	shift 3
	"$BIN/standin" "$kind" --listen="$port" --max-seconds=300 "$@" \
	    >"$OUT/$name.out" 2>"$OUT/$name.log" &
	note_pid $!
	for _ in $(seq 100); do
		grep -q '^listening' "$OUT/$name.out" && return 0
		sleep 0.05
	done
	echo "stand-in $name did not start" >&2
	return 1
}

# start_instance NAME: the process id is left in $OUT/NAME.pid.
start_instance() {
	"$BIN/samphireshed" serve --config "$OUT/generated/instances/$1.yaml" \
	    2>>"$OUT/$1.log" &
	echo $! >"$OUT/$1.pid"
	note_pid $!
}

# wait_url URL SECONDS
wait_url() {
	for _ in $(seq $(($2 * 10))); do
		curl -sf -o /dev/null --max-time 2 "$1" && return 0
		sleep 0.1
	done
	echo "no answer from $1 within $2 s" >&2
	return 1
}

# json_field NAME: the first string or number field of that name on stdin.
json_field() {
	# The body of a reply may lack the newline at its end.
	printf '%s\n' "$(sed -n \
	    "s/.*\"$1\": *\"\{0,1\}\([^\",}]*\).*/\1/p" | head -n 1)"
}

# ip_of NAME: the loopback address of an instance.
ip_of() {
	sed -n "/^callers:/,/listen/s/.*listen: '\(.*\):.*'/\1/p" \
	    "$OUT/generated/instances/$1.yaml"
}

# ctl INSTANCE ARGUMENT...: the operators' client, as the user $OPERATOR.
ctl() {
	local instance=$1
	shift
	"$BIN/samphireshed" ctl --instance "http://$(ip_of "$instance"):18081" \
	    --operator "$OPERATOR" "$@"
}

# wait_shards COUNT: wait until the instances of $INSTANCES own so many, for
# 20 s at most; the number is left in $owned.
wait_shards() {
	local name n
	for _ in $(seq 100); do
		owned=0
		for name in $INSTANCES; do
			n=$(ctl "$name" --json status | json_field shards_owned)
			owned=$((owned + n))
		done
		[ "$owned" -ge "$1" ] && break
		sleep 0.2
	done
	return 0
}
