#!/bin/bash
# Runs the soak for each seed, SOAK_JOBS (default 4) at a time, and ends with one
# line "N seeds kept every promise, N did not"; fails if any did not.
#
#   SOAK_JOBS=4 tests/soak/run.sh SEED|fresh:N|kept...
#
# `fresh:N' draws N new seeds; `kept' stands for the seeds in tests/soak/seeds,
# each of which failed once.  The output and the logs of a seed that fails stay
# in SOAK_LOGS (default build/soak).
set -u
logs=${SOAK_LOGS:-build/soak}
jobs=${SOAK_JOBS:-4}
seeds=""
for arg in "$@"; do
  case $arg in
    kept) seeds="$seeds $(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak/seeds | tr '\n' ' ')" ;;
    fresh:*) for _ in $(seq "${arg#fresh:}"); do seeds="$seeds $((SRANDOM % 1000000))"; done ;;
    *) seeds="$seeds $arg" ;;
  esac
done
rm -rf "$logs"
mkdir -p "$logs"
export logs
printf '%s\n' $seeds | xargs -P "$jobs" --process-slot-var=SOAK_SLOT -I{} bash -c '
  SOAK_KEEP=$logs/{} bash tests/soak/soak.sh {} >"$logs/{}.out" 2>&1
  status=$?
  cat "$logs/{}.out"
  [ $status != 0 ] || rm -rf "$logs/{}" "$logs/{}.out"'
failed=$(ls "$logs"/*.out 2>/dev/null | wc -l)
echo "$(($(wc -w <<<"$seeds") - failed)) seeds kept every promise, $failed did not"
[ "$failed" = 0 ]
