# Two gateways with stand-ins for the users' platform (store and workers), on
# 127.24.0.0/16: configuration, routes, leaving upstreams, faults of upstreams and
# of the store, evacuation, signals, restart and stop.  Guards against a request
# that runs twice, or at an upstream that leaves or is evacuated, and against a
# store or a settings file whose faults end the service.
. tests/lib.sh

store=http://127.24.9.1:7900
upstream_record () { # N [STATE]: the registry entry of the upstream at 127.24.2.N
  echo "{\"service\":\"desk\",\"address\":\"127.24.2.$1:7910\",\"zone\":\"north-a\",\"slots\":4,\"state\":\"${2:-ready}\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$1}"
}
route () { # NAME PREFIX KIND
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"$2\",\"kind\":\"$3\",\"timeout_ms\":1200,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"sticky_sessions\":true,\"allowed_regions\":[]}"
}
config () { # VERSION ROUTES
  echo "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"desk\",\"max_connections\":100,\"cold_start_s\":1.0,\"cold_per_s\":10.0}],\"limits\":{\"max_body_bytes\":100000}}"
}
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
drop () { curl -s -X PUT "$store/_drop?key=$1" -o /dev/null; }
set_mode () { # IP:PORT MODE: of a stand-in of a worker
  curl -s -X PUT "http://$1/_mode?mode=$2" -o /dev/null
}
runs () { # N: what ran at worker N
  curl -s "http://127.24.2.$1:7910/_runs"
}
write_settings () { # N: of gateway gN
  cat >"$WORK/gateway$1.json" <<EOF
{ "name": "g$1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.24.1.$1:7901", "readiness": "127.24.1.$1:7902",
              "lookups": "127.24.1.$1:7903", "metrics": "127.24.1.$1:7904" },
  "store": { "address": "127.24.9.$((3 - $1)):7900", "poll_ms": 100, "timeout_ms": 300, "lease_ms": 1000 },
  "retry": { "ratio": 1, "slack": 20 },
  "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
EOF
}
start_gateway () { write_settings "$1"; start "g$1" "$BUILD/citroncleat" gateway -f "$WORK/gateway$1.json"; }
# call METHOD PATH [CURL-OPTIONS]: makes one call to g1 and prints the status and
# the first line of the body.
call () {
  local method=$1 path=$2
  shift 2
  echo >>"$WORK/calls"
  curl -s -m 5 -X "$method" -H 'Host: shop.example' -H "Request-Id: call-$(wc -l <"$WORK/calls")" -H 'Deadline-Ms: 2000' \
    -H 'Cookie: Affinity-Key=7' -w '%{http_code}\n' -o "$WORK/body" "$@" "http://127.24.1.1:7901$path"
  echo "$(head -1 "$WORK/body" | sed 's/^i-[0-9]/i-N/')"
}
status () { curl -s -m 2 -o /dev/null -w '%{http_code}' "$@"; }
has_status () { # STATUS URL
  [ "$(status "$2")" = "$1" ]
}
is_ready () { has_status 200 http://127.24.1.1:7902/ready; }
route_status () { # PATH: the status of a call to g1
  curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H "Request-Id: probe-$RANDOM$RANDOM" "http://127.24.1.1:7901$1"
}
route_has_status () { # PATH STATUS
  [ "$(route_status "$1")" = "$2" ]
}
named_addresses () { # the gateways that a look-up at g1 names
  curl -s 'http://127.24.1.1:7903/resolve?name=shop.example&region=north' | grep -o '127.24.1.[0-9]:7901' | sort | tr '\n' ' '
}
names () { # ADDRESSES: whether look-ups name exactly these
  [ "$(named_addresses)" = "$1" ]
}

start store "$BUILD/standin" metadata --listen 127.24.9.1:7900 --also 127.24.9.2:7900
for i in 1 2 3; do start "w$i" "$BUILD/standin" worker --listen 127.24.2.$i:7910 --id i-$i; done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start_gateway 1
start_gateway 2

echo "# no configuration: not ready, and no request is denied"
wait_for 5 has_status 503 http://127.24.1.1:7902/ready
call GET /look/1

echo "# a configuration and three upstreams"
put op/config "$(config 7 "$(route look /look/ safe),$(route jobs /jobs/ unsafe)")"
for i in 1 2 3; do put servers/i-$i "$(upstream_record $i)"; done
wait_for 5 is_ready
call GET '/look/1?a=b'
call POST /jobs/1 -d order
call GET /nowhere/1
call POST /jobs/1 -H 'Transfer-Encoding: chunked' -d order
head -c 200000 /dev/zero >"$WORK/large"
call POST /jobs/1 --data-binary "@$WORK/large" -H 'Expect:'

echo "# both entries are named to callers"
wait_for 5 names "127.24.1.1:7901 127.24.1.2:7901 " && echo "named"

echo "# a damaged configuration and an older one change nothing"
put op/config '{"version":9,"routes":[{"name":"x"}],"services":[]}'
put op/config "$(config 6 "$(route other /other/ safe)")"
put op/config "$(config 8 "$(route look /look/ safe),$(route jobs /jobs/ unsafe),$(route more /more/ safe)")"
wait_for 5 route_has_status /more/1 200
call GET /look/1
call GET /other/1

echo "# unreadable registry entries name no upstream, the others stay in use"
put servers/i-9 '{"service":7}'
put servers/i-8 "$(printf '\377\376')"
call GET /look/1

echo "# an upstream refuses, or is another instance than expected: the request goes to another one"
for i in 1 2; do set_mode 127.24.2.$i:7910 full; done
for n in 1 2 3; do call POST /jobs/$n -d order; done | sort | uniq -c | sed 's/^ *//'
for i in 1 2; do set_mode 127.24.2.$i:7910 normal; done
put servers/i-3 "$(upstream_record 3)"
drop servers/i-3
put servers/i-7 "$(upstream_record 3 | sed 's/"born":3/"born":7/')"
sleep 0.5
for n in 1 2 3 4; do call POST /jobs/$n -d order; done | sort | uniq -c | sed 's/^ *//'
drop servers/i-7

echo "# an upstream that leaves gets no requests"
put servers/i-1 "$(upstream_record 1 draining)"
sleep 0.5
before=$(runs 1)
for n in 1 2 3 4 5 6; do call GET /look/$n; done | sort | uniq -c | sed 's/^ *//'
[ "$before" = "$(runs 1)" ] && echo "nothing more ran there"

echo "# a lost response: the outcome is unknown, it ran once, the caller is answered by the route's timeout"
set_mode 127.24.2.2:7910 lose
call POST /jobs/1 -d order
set_mode 127.24.2.2:7910 crossed
call POST /jobs/1 -d order
set_mode 127.24.2.2:7910 short
call POST /jobs/1 -d order
set_mode 127.24.2.2:7910 fail
call POST /jobs/1 -d order
set_mode 127.24.2.2:7910 normal

echo "# a caller closes its connection: its request is cancelled at the upstream"
set_mode 127.24.2.2:7910 lose
curl -s -m 0.3 -H 'Host: shop.example' -H 'Request-Id: leaver' -H 'Deadline-Ms: 2000' http://127.24.1.1:7901/look/1
sleep 0.4
runs 2 | grep -o '[0-9]* left'
set_mode 127.24.2.2:7910 normal

echo "# a queued request is refused as soon as its zone is evacuated"
put op/config "$(config 9 "$(route look /look/ safe),$(route jobs /jobs/ unsafe),$(route held /held/ unsafe | sed 's/:400/:3000/; s/:1200/:4000/')")"
wait_for 5 route_has_status /held/1 200
set_mode 127.24.2.2:7910 full
curl -s -m 9 -H 'Host: shop.example' -H 'Request-Id: waits' -H 'Deadline-Ms: 8000' -H 'Cookie: Affinity-Key=7' \
  -o "$WORK/waits" http://127.24.1.1:7901/held/1 &
waiting=$!
sleep 0.5
put op/evacuate/north-a '{}'
wait "$waiting"
head -1 "$WORK/waits"
echo
set_mode 127.24.2.2:7910 normal

echo "# an evacuated zone gets no requests until the evacuation ends"
wait_for 5 route_has_status /look/1 503
call GET /look/1
drop op/evacuate/north-a
wait_for 5 route_has_status /look/1 200
# The upstream counts as cold until its record is newer than the evacuation's end.
put servers/i-2 "$(upstream_record 2)"
sleep 0.4
call GET /look/1

echo "# the store is unreachable: the known configuration stays in force"
curl -s -X PUT "$store/_mode?mode=busy" -o /dev/null
sleep 1.5
call GET /look/1
curl -s -X PUT "$store/_mode?mode=silent" -o /dev/null
sleep 1
call GET /look/1
curl -s -X PUT "$store/_mode?mode=compact" -o /dev/null
wait_for 5 grep -q store-history-gone "$WORK/g1.log" && echo "listed again"
call GET /look/1

echo "# the store refuses one entry: it gets changes from the other one"
curl -s -X PUT "$store/_mode?mode=half" -o /dev/null
wait_for 5 grep -q store-lost "$WORK/g1.log"
put op/config "$(config 10 "$(route look /look/ safe),$(route jobs /jobs/ unsafe),$(route peer /peer/ safe)")"
wait_for 3 route_has_status /peer/1 200
call GET /peer/1
# A key that is removed meanwhile must not come back from the copy of g1.
drop servers/i-9
put op/config "$(config 11 "$(route look /look/ safe),$(route jobs /jobs/ unsafe),$(route last /last/ safe)")"
wait_for 3 route_has_status /last/1 200
curl -s -X PUT "$store/_mode?mode=normal" -o /dev/null
wait_for 5 grep -q '"store-regained".*' "$WORK/g1.log"
sleep 0.5
curl -s "http://127.24.1.1:7904/kv-range?prefix=servers/" | grep -o 'servers/i-[0-9]*' | sort | tr '\n' ' '
echo

echo "# the store responds later than a small call's timeout"
curl -s -X PUT "$store/_mode?mode=slow" -o /dev/null
put op/config "$(config 12 "$(route look /look/ safe),$(route jobs /jobs/ unsafe),$(route slow /slow/ safe)")"
wait_for 3 route_has_status /slow/1 200
call GET /slow/1
curl -s -X PUT "$store/_mode?mode=normal" -o /dev/null

echo "# settings are reloaded; invalid ones change nothing"
echo '{' >"$WORK/gateway1.json"
kill -HUP "$(pid_of g1)"
wait_for 5 grep -q settings-refused "$WORK/g1.log" && echo "refused"
write_settings 1
kill -HUP "$(pid_of g1)"
wait_for 5 grep -q settings-reloaded "$WORK/g1.log" && echo "reloaded"
echo >>"$WORK/gateway1.json"
reloads () { [ "$(grep -c settings-reloaded "$WORK/g1.log")" -ge "$1" ]; }
wait_for 5 reloads 2 && echo "reloaded without a signal"
call GET /look/1

echo "# killed and restarted: the configuration comes from the store alone"
kill -KILL "$(pid_of g1)"
start_gateway 1
wait_for 5 is_ready
call GET /look/1

echo "# a planned stop: not ready, still serves, not named to callers, ends in time"
kill -TERM "$(pid_of g1)"
wait_for 1 has_status 503 http://127.24.1.1:7902/ready && echo "not ready"
call GET /look/1
wait_for 3 names "127.24.1.2:7901 " && echo "not named"
while kill -0 "$(pid_of g1)" 2>/dev/null; do sleep 0.1; done
wait "$(pid_of g1)"
echo "status $?"

echo "# nothing ran twice"
for i in 1 2 3; do runs $i | grep -o '[0-9]* twice'; done
echo "# requests are logged"
grep -c '"event":"request"' "$WORK/g1.log" | sed 's/^[1-9][0-9]*$/some/'
