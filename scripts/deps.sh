#!/bin/sh
# Installs the Debian packages that the build and the tests need, unless all of
# them are present.
set -eu

packages="gcc make curl pkg-config clang-format clang-tidy libcivetweb-dev
	libzmq3-dev liburcu-dev libargtable2-dev libglib2.0-dev
	libcmocka-dev libjson-c-dev libmpack-dev libsodium-dev
	libxxhash-dev libgsl-dev libhttp-parser-dev gnuplot-nox
	libclang-rt-14-dev clang spin"

missing=
for package in $packages; do
	dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
