#!/bin/sh
# Runs clang-format and clang-tidy on all sources except generated ones; fails on any finding.
set -eu
cd "$(dirname "$0")/.."
sources=$(git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | grep -v pb-c)
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources
FLAGS="-D_GNU_SOURCE -Iinclude -Isrc -Itests -std=c11 $(pkg-config --cflags glib-2.0 jansson \
libmicrohttpd libcurl ck libprotobuf-c check)"
DOMAIN='-DG_LOG_DOMAIN="mustardspread"'
export FLAGS DOMAIN
echo "$sources" | grep '\.c$' | xargs -P 6 -n 3 sh -c \
    'clang-tidy --quiet "$@" -- $FLAGS "$DOMAIN" 2>/dev/null' tidy
echo "lint: clean"
