#!/bin/bash
# Callers that send a second safe request before the first one is answered, at
# gateways that are stopped in turn: the answer to the first one, which an
# upstream has sent whole, may not be cut.
. "$(dirname "$0")/../lib-2.sh"

GATEWAYS="1 2"
start_store
for i in 1 2 3; do
  start_upstream $i --work-ms 480 --response 500000
  register $i
done
configure download 0 1000
for g in $GATEWAYS; do start_gateway $g; done
for g in $GATEWAYS; do wait_for 10 is_ready $g || cannot_run "gateway $g is not ready"; done
sleep 5

for g in $GATEWAYS; do
  start_callers $g "down-$g" --method GET --requests 8 --parallel 8 --stagger-ms 30 --behind-ms 50 --rate 500000 --deadline-ms 3000
  sleep 0.4
  # The platform's stop: SIGTERM, and SIGKILL after the time for that, 6 s.
  [ "$TROUBLE" = 0 ] || kill -TERM "$(pid_of gateway$g)"
  sleep 7
  [ "$TROUBLE" = 0 ] || { kill -KILL "$(pid_of gateway$g)" 2>/dev/null; start_gateway $g; }
  sleep 1
done
wait_callers

# Of the first requests: which the upstream gave an answer, and the caller got
# it in part, within the deadline.
cut=0
for id in $(sed -n 's/.* gave \(down-[0-9]*-[0-9]*\) .* 200 .*/\1/p' "$RECORD"); do
  times=$(sed -n "s/^\([0-9]*\) \(sent\|answered\) $id .*/\1/p" "$RECORD" | tr '\n' ' ')
  set -- $times
  if grep -q " answered $id .* cut$" "$RECORD" && [ $(($2 - $1)) -lt 3000 ]; then cut=$((cut + 1)); fi
done
first=$(count ' sent down-[0-9]*-[0-9]* ')
[ "$first" = 16 ] && [ "$(count ' gave down-[0-9]*-[0-9]* ')" -gt 0 ] || cannot_run "no request was answered by an upstream"
echo "first requests $first, given a whole answer by an upstream $(count ' gave down-[0-9]*-[0-9]* '), cut on the way to the caller $cut"
[ "$cut" = 0 ]
