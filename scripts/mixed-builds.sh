#!/bin/bash
# Compatibility of two builds, as in a rolling upgrade:
#	scripts/mixed-builds.sh OLD NEW [SEEDS]
# OLD and NEW are build directories (samphireshed, standin, tests/).  A
# wrapper starts each daemon from OLD and NEW in turn, so that one fleet holds
# both and a restart mostly changes the build; the state that one build wrote
# to the log, the store or a replica holder is read by the other.  The
# process tests of NEW and SEEDS seeds (3) of the fault soak run on it.  Both
# builds generate and check the same settings.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ $# -lt 2 ]; then
	echo "usage: scripts/mixed-builds.sh OLD NEW [SEEDS]" >&2
	exit 2
fi
OLD=$(realpath "$1")
NEW=$(realpath "$2")
SEEDS=${3:-3}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
failed=0

# report NAME STATUS
report() {
	if [ "$2" -eq 0 ]; then
		echo "passed: $1"
	else
		echo "FAILED: $1"
		failed=1
	fi
}

echo "== settings and objects that either build writes, read by the other"
for answers in examples/*/answers.yaml; do
	name=$(basename "$(dirname "$answers")")
	"$OLD/samphireshed" init --answers "$answers" --output "$DIR/$name-old" \
	    >/dev/null
	"$NEW/samphireshed" init --answers "$answers" --output "$DIR/$name-new" \
	    >/dev/null
	diff -r "$DIR/$name-old" "$DIR/$name-new" >"$DIR/diff.txt" && status=0 ||
	    status=$?
	report "$name: both generate the same files" $status
	"$NEW/samphireshed" check --objects "$DIR/$name-old/objects.yaml" \
	    >/dev/null && status=0 || status=$?
	report "$name: NEW checks the objects of OLD" $status
	"$OLD/samphireshed" check --objects "$DIR/$name-new/objects.yaml" \
	    >/dev/null && status=0 || status=$?
	report "$name: OLD checks the objects of NEW" $status
done

mkdir "$DIR/mixed"
ln -s "$NEW/standin" "$DIR/mixed/standin"
cat >"$DIR/mixed/samphireshed" <<WRAPPER
#!/bin/bash
case \$1 in
serve | serve-platform) ;;
*) exec "$NEW/samphireshed" "\$@" ;;
esac
exec 9>>"$DIR/starts"
flock 9
n=\$(wc -l <"$DIR/starts")
if [ \$((n % 2)) -eq 0 ]; then build=old bin=$OLD; else build=new bin=$NEW; fi
echo "\$build" >&9
exec 9>&-
exec "\$bin/samphireshed" "\$@"
WRAPPER
chmod +x "$DIR/mixed/samphireshed"

# run_mixed NAME COMMAND...
run_mixed() {
	local name=$1 status=0
	shift
	: >"$DIR/starts"
	SAMPHIRESHED_BUILD=$DIR/mixed ASAN_OPTIONS=abort_on_error=1 \
	    UBSAN_OPTIONS=abort_on_error=1 "$@" >"$DIR/out.txt" 2>&1 ||
	    status=$?
	grep -E '^not ok|^# figure|Bail out|ERROR' "$DIR/out.txt" || true
	echo "   $(grep -c '^ok ' "$DIR/out.txt" || true) tests ok;" \
	    "daemons started: $(grep -c old "$DIR/starts" || true) old," \
	    "$(grep -c new "$DIR/starts" || true) new"
	report "$name" $status
	[ $status -eq 0 ] || cat "$DIR/out.txt"
}

echo "== serve: the process tests on a fleet of both builds"
run_mixed test_fleet "$NEW/tests/test_fleet" --tap

echo "== serve: the demo, with one instance killed, on a fleet of both builds"
DEMO_OUT=$DIR/demo run_mixed demo scripts/demo.sh
if grep -hE 'event=(config_record_refused|config_snapshot_refused|peer_refused)' \
    "$DIR"/demo/*.log; then
	report "no record or message is refused" 1
else
	report "no record or message is refused" 0
fi

echo "== serve-platform: the process tests on both builds"
run_mixed test_processes "$NEW/tests/test_processes" --tap

echo "== serve-platform: $SEEDS seeds of the fault soak on both builds"
export SOAK_SEED=${SOAK_SEED:-1} SOAK_SEEDS=$SEEDS SOAK_SECONDS=${SOAK_SECONDS:-12}
run_mixed test_soak "$NEW/tests/test_soak" --tap -p /soak/seeds
exit $failed
