# A gateway whose store holds parts that it can't use, each beside others that it
# can: a route of an unknown kind, the record of an upstream with a damaged member,
# the key of an entry that can't be read, evacuations of a zone that it doesn't know
# and with an unknown value.  Guards against a part that takes others out of
# service, and against one that is dropped without a word.
. tests/lib.sh

store=http://127.35.9.1:7900
upstream_record () { # N ZONE SLOTS: the registry entry of the upstream at 127.35.2.N
  echo "{\"service\":\"desk\",\"address\":\"127.35.2.$1:7910\",\"zone\":\"$2\",\"slots\":$3,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$1}"
}
route () { # NAME KIND
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"/$1/\",\"kind\":\"$2\",\"timeout_ms\":1200,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":3,\"sticky_sessions\":true,\"allowed_regions\":[]}"
}
config () { # VERSION ROUTES
  echo "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"desk\",\"max_connections\":100,\"cold_start_s\":1.0,\"cold_per_s\":10.0}],\"limits\":{\"max_body_bytes\":100000}}"
}
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
drop () { curl -s -X PUT "$store/_drop?key=$1" -o /dev/null; }
set_mode () { curl -s -X PUT "http://127.35.2.$1:7910/_mode?mode=$2" -o /dev/null; }
cat >"$WORK/c1.json" <<EOF
{ "name": "c1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }, { "name": "north-b", "region": "north" }],
  "listen": { "callers": "127.35.1.1:7901", "readiness": "127.35.1.1:7902",
              "lookups": "127.35.1.1:7903", "metrics": "127.35.1.1:7904" },
  "store": { "address": "127.35.9.1:7900", "poll_ms": 100, "timeout_ms": 300, "lease_ms": 1000 },
  "retry": { "ratio": 1, "slack": 20 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
EOF
call () { # METHOD ROUTE: a call, and prints its status
  echo >>"$WORK/calls"
  curl -s -m 5 -X "$1" -H 'Host: shop.example' -H "Request-Id: call-$(wc -l <"$WORK/calls")" -H 'Deadline-Ms: 2000' \
    -o /dev/null -w '%{http_code}\n' "http://127.35.1.1:7901/$2/$(wc -l <"$WORK/calls")"
}
call_six () { for n in 1 2 3 4 5 6; do call "$1" "$2"; done | sort | uniq -c | sed 's/^ *//'; }
has_status () { [ "$(call GET "$2")" = "$1" ]; }
is_ready () { [ "$(curl -s -o /dev/null -w '%{http_code}' http://127.35.1.1:7902/ready)" = 200 ]; }
is_logged () { grep -q "$1" "$WORK/c1.log"; }
logged () { # EVENT: its lines, without what differs in each run
  grep "\"$1\"" "$WORK/c1.log" | sed 's/.*"event":/"event":/; s/}$//'
}
metric () { curl -s http://127.35.1.1:7904/metrics | grep "^citroncleat_$1" | sort; }
runs () { curl -s "http://127.35.2.$1:7910/_runs" | sed 's/ ran.*//'; }

start store "$BUILD/standin" metadata --listen 127.35.9.1:7900
for i in 1 2 3; do start "w$i" "$BUILD/standin" worker --listen 127.35.2.$i:7910 --id i-$i; done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "$(config 1 "$(route look safe),$(route film stream)")"
put servers/i-1 "$(upstream_record 1 north-a 4)"
put servers/i-2 "$(upstream_record 2 north-b 4)"
start c1 "$BUILD/citroncleat" gateway -f "$WORK/c1.json"
wait_for 5 is_ready

echo "# a route of an unknown kind: the others are served as ever, its requests at most once"
call_six GET look
call_six GET film
logged configuration-problem
metric configuration_problems
for i in 1 2; do set_mode $i lose; done
before="$(runs 1) $(runs 2)"
call GET film
sleep 0.5
for i in 1 2; do set_mode $i normal; done
echo "it ran $(($(runs 1) + $(runs 2) - ${before% *} - ${before#* })) time"

echo "# the record of an upstream with a damaged member: the others serve"
put servers/i-3 "$(upstream_record 3 north-a '"many"')"
wait_for 5 is_logged upstream-unreadable
call_six GET look
put servers/i-3 "$(upstream_record 3 nowhere 4)"
wait_for 5 is_logged nowhere
call_six GET look
echo "at the damaged one: $(runs 3)"
logged upstream-unreadable
metric unreadable_items_total

echo "# an entry's key that can't be read: this one is still named, and serves"
put citroncleat/entries/c2 '{"callers":"here","zone":"north-a","leaving":false}'
wait_for 5 is_logged entry-unreadable
curl -s 'http://127.35.1.1:7903/resolve?name=shop.example&region=north' | grep -o '[0-9.]*:7901'
call_six GET look
logged entry-unreadable
metric unreadable_items_total

echo "# an evacuation of a zone that is not known, and one with an unknown value"
put op/evacuate/north-z 1
wait_for 5 is_logged north-z
call_six GET look
put op/evacuate/north-b '{"until":"noon"}'
wait_for 5 is_logged '"zone-evacuated","zone":"north-b"'
ran=$(runs 2)
call_six GET look
[ "$(runs 2)" = "$ran" ] && echo "nothing more ran in that zone"
logged zone-evacuated
logged evacuation-unreadable
metric unreadable_items_total

echo "# the parts are mended"
put op/config "$(config 2 "$(route look safe),$(route film download)")"
put servers/i-3 "$(upstream_record 3 north-a 4)"
drop op/evacuate/north-z
drop op/evacuate/north-b
drop citroncleat/entries/c2
wait_for 5 is_logged '"configuration-adopted","version":2'
sleep 1.5
call_six GET film
metric configuration_problems
