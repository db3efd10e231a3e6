#!/bin/sh
# Checks the formatting of the product's sources and of the tests, runs clang-tidy
# on the product's sources, and checks that names of the platform's protocols occur
# only in platform/, which is at most a tenth of these sources.
set -eu
clang-format --dry-run -Werror src/*.c src/*/*.[ch] platform/*.[ch] tests/*/*.[ch]
flags="-std=gnu11 -Isrc -I. -DCITRONCLEAT_VERSION=\"lint\" $(pkg-config --cflags apr-1 apr-util-1 msgpack \
  libmicrohttpd libcurl argtable2 json-c libxxhash libsodium)"
ls src/*.c src/*/*.c platform/*.c | xargs -P "$(nproc)" -n 4 sh -c '
  flags=$0
  clang-tidy --quiet --warnings-as-errors="*" "$@" -- $flags 2>/dev/null' "$flags"
platform_names='Deadline-Ms|Expect-Instance|Affinity-Key|Server-Stamp|Not-Executed|Server-Load|Instance-Id|Cold-Ms|Store-Era'
platform_names="$platform_names|kv-(key|range|watch|txn|lease|keep)|op/(config|evacuate)|\"servers/|\"/resolve|\"/ready"
platform_names="$platform_names|weighted_backends|allowed_regions|sticky_sessions|target_latency_ms|cold_remaining_ms"
platform_names="$platform_names|CITRONCLEAT_NODE_FILE|has_more|current_rev|tombstone"
if grep -nE "$platform_names" src/*.c src/*/*.[ch]; then
  echo "lint: names of the platform outside platform/" >&2
  exit 1
fi
platform_lines=$(cat platform/* | wc -l)
total_lines=$(cat src/*.c src/*/*.[ch] platform/*.[ch] | wc -l)
if [ $((platform_lines * 10)) -gt "$total_lines" ]; then
  echo "lint: platform/ has $platform_lines of $total_lines lines, more than a tenth" >&2
  exit 1
fi
echo "lint: clean"
