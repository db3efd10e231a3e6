#!/bin/sh
# Checks formatting and runs the linter over the product's sources.
set -eu
clang-format --dry-run -Werror src/*.c src/*/*.[ch] tests/*/*.[ch]
flags="-std=gnu11 -Isrc -I. -DCITRONCLEAT_VERSION=\"lint\" $(pkg-config --cflags apr-1 apr-util-1 msgpack \
  libmicrohttpd libcurl argtable2 json-c libxxhash libsodium)"
ls src/*.c src/*/*.c | xargs -P "$(nproc)" -n 4 sh -c '
  flags=$0
  clang-tidy --quiet --warnings-as-errors="*" "$@" -- $flags 2>/dev/null' "$flags"
echo "lint: clean"
