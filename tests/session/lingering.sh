# 1,000 callers whose connections the gateway closes behind an answer, and that then read
# nothing, or send without end, and stay.  Guards against connections that wait for their
# callers without a bound: in number, in time, and in a stop.
. tests/lib.sh
store=http://127.53.9.1:7900
metrics=http://127.53.1.1:7904/metrics
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
cat >"$WORK/gateway.json" <<END
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.53.1.1:7901", "readiness": "127.53.1.1:7902",
              "lookups": "127.53.1.1:7903", "metrics": "127.53.1.1:7904" },
  "store": { "address": "127.53.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 20 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "machine": { "memory_mb": 64 }, "stop_s": 6 }
END
# The maximum of connections with that memory, and one that is being accepted.
max_sockets=439
start store "$BUILD/standin" metadata --listen 127.53.9.1:7900
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.53.2.1:9000 --stamp s
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","kind":"safe","timeout_ms":15000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"desk"}]}'
put servers/i-1 '{"service":"desk","address":"127.53.2.1:9000","zone":"north-a","slots":2000,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'
lingering () { curl -s -m 2 "$metrics" | awk '/^citroncleat_lingering\{listener="callers"/ { print $2 }'; }
# sockets: connections of callers of which the gateway has a descriptor.  It stands still
# meanwhile, since the list is not read in one moment.  If another process opens
# connections, the list has some lines twice, so that inodes are counted.
sockets () {
  kill -STOP "$(pid_of g1)"
  awk '$2 == "0101357F:1EDD" && $4 != "0A" && $10 != 0 && !seen[$10]++' /proc/net/tcp | wc -l
  kill -CONT "$(pid_of g1)"
}
is_served () {
  [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H 'Request-Id: calm' -H 'X-Caller-Token: calm' \
    -H 'Deadline-Ms: 4000' http://127.53.1.1:7901/calm)" = 200 ]
}
crowd () { # LOAD SECONDS
  "$BUILD/standin" crowd --connect 127.53.1.1:7901 --load "$1" --count 1000 --body 30000 --seconds "$2" >"$WORK/crowd.log" &
  crowd=$!
}
for load in closed-unread closed-endless; do
  start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
  wait_for 5 is_served
  crowd $load 12
  most=0
  lingered=0
  for _ in $(seq 30); do
    n=$(sockets)
    [ "$n" -le $most ] || most=$n
    n=$(lingering)
    [ "${n:-0}" -le $lingered ] || lingered=$n
    sleep 0.1
  done
  echo "$load: most sockets $most, most lingering $lingered" >&2
  [ $lingered -gt 0 ] && echo "$load: connections lingered"
  if [ $most -le $max_sockets ]; then echo "$load: sockets within the maximum"; else echo "$load: $most sockets"; fi
  wait_for 5 eval '[ "$(lingering)" = 0 ]' && echo "$load: none lingers any more, though the callers stay"
  is_served && echo "$load: an ordinary request is served"
  kill -0 $crowd && echo "$load: the callers are there"
  kill $crowd
  wait $crowd 2>/dev/null
  crowd $load 12
  sleep 1
  signal_at=$EPOCHREALTIME
  kill -TERM "$(pid_of g1)"
  wait "$(pid_of g1)"
  echo "$load: status of the stop: $?"
  awk -v load=$load -v t="$signal_at" -v n="$EPOCHREALTIME" 'BEGIN { print load ": ended " (n - t < 6 ? "before" : "AFTER") " the kill" }'
  awk -v load=$load -v t="$signal_at" -v n="$EPOCHREALTIME" 'BEGIN { print load ": stop of " n - t " s" }' >&2
  kill $crowd 2>/dev/null
  wait $crowd 2>/dev/null || true
done
