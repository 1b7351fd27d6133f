#!/bin/sh
# Install the Debian packages that the build and the tests need, if any is
# missing.  "install-deps.sh lint" also installs the formatter, the linter and
# the fuzzer.
set -eu

packages="gcc make pkg-config libev-dev libmicrohttpd-dev \
libcurl4-gnutls-dev libglib2.0-dev libyaml-dev libtirpc-dev libjansson-dev \
libgnutls28-dev libsodium-dev libhttp-parser-dev curl"
if [ "${1:-}" = lint ]; then
	packages="$packages clang-format clang-tidy clang libclang-rt-14-dev"
fi

missing=""
for package in $packages; do
	if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
	    grep -q 'install ok installed'; then
		missing="$missing $package"
	fi
done
[ -n "$missing" ] || exit 0

if [ "$(id -u)" -ne 0 ]; then
	echo "missing packages, install them as root:$missing" >&2
	exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq >&2
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >&2
