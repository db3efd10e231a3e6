#!/bin/bash
# Builds the stand-ins that the cases of the review start: the project's own into
# target/, those of the review into review/bin/.  Run after the build of the deploy
# file; needs no network and no other packages than that build.
set -eu
cd "$(dirname "$0")/.."
make -s -j6 BUILD=target target/standin
mkdir -p review/bin
for name in server caller; do
  gcc -O2 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror -o review/bin/$name \
    review/standin/$name.c review/standin/common.c -lpthread
done
