#!/bin/bash
# Run each test program given as an argument with TAP output, up to
# TEST_JOBS at a time, show the output of failures, and close with the total
# count.  A program that crashes, times out or runs no test counts as one
# failed test.
set -u

# A sanitizer error ends a test by a signal, whose handler ends the processes
# that the test has started.
export ASAN_OPTIONS="abort_on_error=1${ASAN_OPTIONS:+:$ASAN_OPTIONS}"
export UBSAN_OPTIONS="abort_on_error=1${UBSAN_OPTIONS:+:$UBSAN_OPTIONS}"

logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT

run_one() {
	local log
	log=$logs/$(basename "$1")
	timeout "${TEST_TIMEOUT_S:-600}" "$1" --tap >"$log" 2>&1
	echo $? >"$log.status"
}
export -f run_one
export logs

printf '%s\0' "$@" |
    xargs -0 -P "${TEST_JOBS:-4}" -I '{}' bash -c 'run_one "$1"' _ '{}'

passed=0
failed=0
for program in "$@"; do
	log=$logs/$(basename "$program")
	status=$(cat "$log.status")
	ok=$(grep -c '^ok ' "$log")
	bad=$(grep -c '^not ok ' "$log")
	if [ "$bad" -eq 0 ] && { [ "$status" -ne 0 ] || [ "$ok" -eq 0 ]; }; then
		bad=1
	fi
	if [ "$bad" -ne 0 ]; then
		echo "FAILED $program (exit status $status)"
		cat "$log"
	else
		echo "$(basename "$program"): $ok passed"
		grep '^# figure' "$log"
	fi
	passed=$((passed + ok))
	failed=$((failed + bad))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
