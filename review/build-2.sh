#!/bin/bash
# Builds what the scripts of the second review start beside target/citroncleat:
# the project's stand-ins, and the upstreams and callers of review/peer-2.
set -eu
cd "$(dirname "$0")/.."
make -s -j"$(nproc)" build/standin
mkdir -p build
gcc -O2 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror review/peer-2/peer.c -o build/peer-2 -lpthread
echo "built build/standin and build/peer-2"
