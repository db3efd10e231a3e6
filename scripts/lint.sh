#!/bin/sh
# Checks formatting, runs the linter over the product's sources, and keeps the
# platform's names in platform/.
set -eu
clang-format --dry-run -Werror src/*.c src/*/*.[ch] platform/*.[ch] tests/*/*.[ch]
flags="-std=gnu11 -Isrc -I. -DCITRONCLEAT_VERSION=\"lint\" $(pkg-config --cflags apr-1 apr-util-1 msgpack \
  libmicrohttpd libcurl argtable2 json-c libxxhash libsodium)"
ls src/*.c src/*/*.c platform/*.c | xargs -P "$(nproc)" -n 4 sh -c '
  flags=$0
  clang-tidy --quiet --warnings-as-errors="*" "$@" -- $flags 2>/dev/null' "$flags"
words='Deadline-Ms|Expect-Instance|Affinity-Key|Server-Stamp|Not-Executed|Server-Load|Instance-Id|Cold-Ms'
words="$words|kv-(key|range|watch|txn|lease|keep)|op/(config|evacuate)|\"servers/|\"/resolve|\"/ready"
words="$words|weighted_backends|allowed_regions|sticky_sessions|target_latency_ms|cold_remaining_ms"
words="$words|CITRONCLEAT_NODE_FILE|has_more|current_rev|tombstone"
if grep -nE "$words" src/*.c src/*/*.[ch]; then
  echo "lint: names of the platform outside platform/" >&2
  exit 1
fi
own=$(cat platform/* | wc -l)
all=$(cat src/*.c src/*/*.[ch] platform/*.[ch] | wc -l)
if [ $((own * 10)) -gt "$all" ]; then
  echo "lint: platform/ has $own of $all lines, more than a tenth" >&2
  exit 1
fi
echo "lint: clean"
