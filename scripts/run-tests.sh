#!/bin/sh
# Run each test program given as an argument with TAP output, show the lines
# of failures, and close with the total count.  A program that crashes or
# times out counts as one failed test.
set -u

passed=0
failed=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT
for program in "$@"; do
	timeout "${TEST_TIMEOUT_S:-300}" "$program" --tap >"$log" 2>&1
	status=$?
	ok=$(grep -c '^ok ' "$log")
	bad=$(grep -c '^not ok ' "$log")
	if [ $status -ne 0 ] && [ "$bad" -eq 0 ]; then
		bad=1
	fi
	if [ "$ok" -eq 0 ] && [ "$bad" -eq 0 ]; then
		echo "$program: no test ran"
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
