#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/samphireshed ] && [ -x target/review/case-1 ] || exit 2
CASE_DIR=review/1 exec target/review/case-1
