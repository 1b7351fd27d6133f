#!/bin/sh
# Build what the scripts of the second review start: a driver a case, with the
# project's stand-ins for the store and the workers.  The build of the deploy
# file goes before: it leaves the instance's program and the library in target/.
set -eu

cd "$(dirname "$0")/.."
packages="glib-2.0 jansson libtirpc"
out=target/review-2
mkdir -p "$out"
for source in review/[0-9]*/case.c; do
	[ -f review/rig-2/rig.c ] || exit 1
	number=$(basename "$(dirname "$source")")
	case $number in
	6 | 7 | 8 | 9 | 10) ;;
	*) continue ;;
	esac
	# shellcheck disable=SC2046
	"${CC:-gcc}" -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -I. -Isrc \
	    -Ireview/rig-2 $(pkg-config --cflags $packages) \
	    -o "$out/case-$number" "$source" review/rig-2/rig.c review/rig-2/store.c \
	    platform/standin/*.c target/libsamphireshed.a \
	    $(pkg-config --libs $packages) -lhttp_parser -lev -lm
done
