#!/bin/sh
# Builds the drivers of the cases, with the project's own stand-ins, into
# target/review.  It needs what the build of deploy/system.toml needs.
set -e
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/samphireshed
objects=
for source in platform/standin/*.c; do
	object=target/${source%.c}.o
	make BUILD=target "$object"
	objects="$objects $object"
done
for source in platform/plt_*.c; do
	# The command itself needs the other commands.
	[ "$source" = platform/plt_serve.c ] && continue
	object=target/${source%.c}.o
	objects="$objects $object"
done
mkdir -p target/review
flags="$(pkg-config --cflags glib-2.0 jansson libtirpc libmicrohttpd) \
    -std=gnu11 -O1 -g -D_GNU_SOURCE -Isrc -I. -Ireview/lib"
libs="$(pkg-config --libs libmicrohttpd libcurl glib-2.0 yaml-0.1 libtirpc \
    jansson gnutls libsodium) -lhttp_parser -lev -lm"
for driver in review/[1-5]/driver.c; do
	[ -f "$driver" ] || continue
	number=$(basename "$(dirname "$driver")")
	# shellcheck disable=SC2086
	cc $flags -Wall -Wextra -o "target/review/case-$number" "$driver" \
	    review/lib/fleet.c $objects \
	    target/libsamphireshed.a $libs
done
