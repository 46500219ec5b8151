#!/bin/sh
# Installs the Debian packages that the build, the tests and the lint need and that are missing.
set -eu
packages="gcc g++ make pkg-config git libck-dev libprotobuf-c-dev libtomlplusplus-dev
libjansson-dev libmicrohttpd-dev libcurl4-openssl-dev libglib2.0-dev zlib1g-dev check python3
python3-aiohttp clang-format clang-tidy gnuplot-nox"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
        missing="$missing $package"
done
if [ -n "$missing" ]; then
    apt-get update -q
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends $missing
fi
