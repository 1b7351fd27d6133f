#!/bin/bash
# Run each test program given as an argument with TAP output, up to
# TEST_JOBS at a time, show the output of failures, and close with the total
# count.  A program that crashes, times out or runs no test counts as one
# failed test.  The tests that KNOWN-RED.txt lists ("test: PROGRAM PATH") are
# left out of the programs and the count, run apart, and their result shown.
set -u

# A sanitizer error ends a test by a signal, whose handler ends the processes
# that the test has started.
export ASAN_OPTIONS="abort_on_error=1${ASAN_OPTIONS:+:$ASAN_OPTIONS}"
export UBSAN_OPTIONS="abort_on_error=1${UBSAN_OPTIONS:+:$UBSAN_OPTIONS}"

logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT

known_red=$(dirname "$0")/../KNOWN-RED.txt

# The paths that KNOWN-RED.txt lists for the program.
known_red_of() {
	[ -f "$known_red" ] || return 0
	sed -n "s|^test: $1 ||p" "$known_red"
}

run_one() {
	local log path skip=()
	log=$logs/$(basename "$1")
	for path in $(known_red_of "$(basename "$1")"); do
		skip+=(-s "$path")
	done
	timeout "${TEST_TIMEOUT_S:-600}" "$1" --tap "${skip[@]}" >"$log" 2>&1
	echo $? >"$log.status"
}
export -f run_one known_red_of
export logs known_red

# Programs that measure the memory of processes run alone, after the others.
alone=" test_callers "
together=()
last=()
for program in "$@"; do
	if [[ $alone == *" $(basename "$program") "* ]]; then
		last+=("$program")
	else
		together+=("$program")
	fi
done
if [ ${#together[@]} -gt 0 ]; then
	printf '%s\0' "${together[@]}" |
	    xargs -0 -P "${TEST_JOBS:-4}" -I '{}' bash -c 'run_one "$1"' _ '{}'
fi
for program in "${last[@]}"; do
	run_one "$program"
done

# Where a program failed: the end of a long report alone has to tell.
failure_of() {
	grep -hE '^(not ok|Bail out!|==[0-9]+==ERROR|SUMMARY: )' "$2" |
	    sed "s|^|$(basename "$1"): |" | head -n 10
	echo "$(basename "$1"): last passed: $(grep '^ok ' "$2" | tail -n 1)"
}

passed=0
failed=0
reasons=
for program in "$@"; do
	log=$logs/$(basename "$program")
	status=$(cat "$log.status")
	ok=$(grep '^ok ' "$log" | grep -vc '# SKIP')
	bad=$(grep -c '^not ok ' "$log")
	if [ "$bad" -eq 0 ] && { [ "$status" -ne 0 ] || [ "$ok" -eq 0 ]; }; then
		bad=1
	fi
	if [ "$bad" -ne 0 ]; then
		echo "FAILED $program (exit status $status)"
		cat "$log"
		reasons+=$(failure_of "$program" "$log")$'\n'
	else
		echo "$(basename "$program"): $ok passed"
		grep '^# figure' "$log"
	fi
	passed=$((passed + ok))
	failed=$((failed + bad))
done
for program in "$@"; do
	for path in $(known_red_of "$(basename "$program")"); do
		if timeout "${TEST_TIMEOUT_S:-600}" "$program" --tap \
		    -p "$path" >"$logs/known-red" 2>&1; then
			echo "KNOWN-RED $path: passed this time"
		else
			echo "KNOWN-RED $path: failed, see KNOWN-RED.txt"
		fi
	done
done
printf '%s' "$reasons"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
