#!/bin/sh
# Build the stand-ins and drivers of the cases 11 to 15 into target/review-3,
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
standin="target/platform/standin/store.o target/platform/standin/worker.o \
target/platform/standin/client.o"
packages="libmicrohttpd libcurl glib-2.0 yaml-0.1 libtirpc jansson gnutls \
libsodium"
mkdir -p "$out"
# shellcheck disable=SC2086
make -s -j4 BUILD=target target/libsamphireshed.a $standin
for driver in review/rig-3/*.c; do
	name=$(basename "$driver" .c)
	[ "$name" != rig ] || continue
	# shellcheck disable=SC2046,SC2086
	cc -D_GNU_SOURCE -I. -Isrc $(pkg-config --cflags $packages) -O2 -g \
	    -std=c11 -Wall -Wextra -o "$out/$name" "$driver" \
	    review/rig-3/rig.c $standin target/libsamphireshed.a \
	    $(pkg-config --libs $packages) -lhttp_parser -lev -lm
done
