# Three entries of one zone, two of which read the store, which comes back from an
# older copy.  Guards against changes that are lost or undone since the store gives
# revisions out again, and against records of the copy that undo later ones.
. tests/lib.sh

store=http://127.28.9.1:7900
max_in_force_ms=2500
upstream_record () { # N STATE SEQUENCE: the registry entry of the upstream at 127.28.2.N
  echo "{\"service\":\"desk\",\"address\":\"127.28.2.$1:7910\",\"zone\":\"north-a\",\"slots\":4,\"state\":\"$2\",\"cold_remaining_ms\":0,\"sequence\":$3,\"born\":$1}"
}
config () { # VERSION ROUTE
  echo "{\"version\":$1,\"routes\":[{\"name\":\"$2\",\"host\":\"shop.example\",\"prefix\":\"/$2/\",\"kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"sticky_sessions\":true,\"allowed_regions\":[]}],\"services\":[{\"name\":\"desk\",\"max_connections\":100,\"cold_start_s\":1.0,\"cold_per_s\":10.0}],\"limits\":{\"max_body_bytes\":100000}}"
}
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
drop () { curl -s -X PUT "$store/_drop?key=$1" -o /dev/null; }
renew () { curl -s -X PUT "$store/_renew?key=$1&count=$2" -o /dev/null; }
copy () { curl -s -X PUT "$store/_copy" -o /dev/null; }
restore () { curl -s -X PUT "$store/_restore" -o /dev/null; }
set_mode () { curl -s -X PUT "$store/_mode?mode=$1" -o /dev/null; }
start_entry () { # N
  cat >"$WORK/r$1.json" <<EOF
{ "name": "r$1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.28.1.$1:7901", "readiness": "127.28.1.$1:7902",
              "lookups": "127.28.1.$1:7903", "metrics": "127.28.1.$1:7904" },
  "store": { "address": "127.28.9.1:7900", "in_force_ms": $max_in_force_ms, "leaving_ms": $max_in_force_ms },
  "retry": { "ratio": 0.2, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
EOF
  start "r$1" "$BUILD/citroncleat" gateway -f "$WORK/r$1.json"
}
has_status () { # STATUS URL
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H "Request-Id: p-$RANDOM$RANDOM" "$2")" = "$1" ]
}
# all_have_status STATUS ROUTE: whether a call of this route gets STATUS at each entry.
all_have_status () { local i; for i in 1 2 3; do has_status "$1" "http://127.28.1.$i:7901/$2/1" || return 1; done; }
# in_force ROUTE: whether each entry follows a configuration, written just now, in time.
in_force () {
  local began=${EPOCHREALTIME/./} took
  wait_for 10 all_have_status 200 "$1" || echo "never"
  took=$(((${EPOCHREALTIME/./} - began) / 1000))
  if [ $took -le $max_in_force_ms ]; then echo "in force in time"; else echo "in force after $took ms"; fi
}
all_adopted () { # VERSION
  local i
  for i in 1 2 3; do grep -q "\"configuration-adopted\",\"version\":$1," "$WORK/r$i.log" || return 1; done
}
runs () { curl -s "http://127.28.2.$1:7910/_runs" | sed 's/ ran.*//'; }
call_each () { # ROUTE: several calls at each entry
  local i n
  for n in 1 2 3 4 5; do for i in 1 2 3; do has_status 200 "http://127.28.1.$i:7901/$1/$n" || echo "refused"; done; done
}
named () { # the entries that look-ups at r1 and r2 name
  local i
  for i in 1 2; do curl -s "http://127.28.1.$i:7903/resolve?name=shop.example&region=north" | grep -o '127.28.1.[0-9]:7901'; done | sort -u | tr '\n' ' '
}
keys () { curl -s "$store/kv-range?prefix=citroncleat/entries/" | grep -o 'entries/r[0-9]' | sort | tr '\n' ' '; }
has_keys () { [ "$(keys)" = "$1" ]; }

start store "$BUILD/standin" metadata --listen 127.28.9.1:7900
for i in 1 2 3; do start "w$i" "$BUILD/standin" worker --listen 127.28.2.$i:7910 --id i-$i; done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "$(config 1 first)"
for i in 1 2; do put servers/i-$i "$(upstream_record $i ready 1)"; done
copy
for i in 1 2 3; do start_entry $i; done
for i in 1 2 3; do wait_for 5 has_status 200 "http://127.28.1.$i:7902/ready"; done
wait_for 5 has_keys "entries/r1 entries/r2 entries/r3 " && echo "three entries"

echo "# a change in the lost part stays in force, and the keys of the entries are written again"
put op/config "$(config 2 second)"
in_force second
restore
wait_for 3 has_keys "entries/r1 entries/r2 entries/r3 " && echo "three entries"
all_have_status 200 second && echo "served"

echo "# a change after the return, at a revision that was given out before"
put op/config "$(config 3 third)"
in_force third

echo "# the revision that is known exists again before an entry asks"
copy
renew servers/i-2 20
put op/config "$(config 4 fourth)"
in_force fourth
restore
put op/config "$(config 5 fifth)"
renew servers/i-2 40
in_force fifth

echo "# an older version comes back"
copy
put op/config "$(config 6 sixth)"
in_force sixth
restore
sleep 3
all_have_status 200 sixth && echo "served"
put op/config "$(config 6 sixth)"

echo "# a leaving upstream is listed as ready again"
copy
put servers/i-1 "$(upstream_record 1 draining 2)"
sleep 2.5
ran=$(runs 1)
restore
sleep 2
call_each sixth
[ "$(runs 1)" = "$ran" ] && echo "nothing more ran there"
put servers/i-1 "$(upstream_record 1 draining 3)"
sleep 1.5

echo "# an upstream that was removed is listed again, and restarts"
put servers/i-3 "$(upstream_record 3 ready 1)"
sleep 2.5
copy
drop servers/i-3
sleep 2.5
ran=$(runs 3)
restore
sleep 2
call_each sixth
[ "$(runs 3)" = "$ran" ] && echo "nothing more ran there"
put servers/i-3 "$(upstream_record 3 ready 1 | sed 's/"born":3/"born":4/')"
sleep 1.5
for n in 1 2 3 4 5; do call_each sixth; done
[ "$(runs 3)" != "$ran" ] && echo "the new one is used"

echo "# an evacuation is lost, and written again"
copy
put op/evacuate/north-a 1
wait_for 3 all_have_status 503 sixth && echo "no request is sent"
restore
for n in 1 2 3 4; do sleep 0.4; all_have_status 503 sixth || echo "sent"; done
put op/evacuate/north-a 1
sleep 5
all_have_status 503 sixth && echo "no request is sent"

echo "# the end of an evacuation is lost"
copy
drop op/evacuate/north-a
wait_for 5 all_have_status 200 sixth && echo "served"
restore
wait_for 3 all_have_status 503 sixth && echo "no request is sent"
drop op/evacuate/north-a
wait_for 5 all_have_status 200 sixth && echo "served"

echo "# the store is away and loses nothing"
listed=$(cat "$WORK"/r?.log | grep -c '"store-restored"')
set_mode silent
sleep 2
set_mode normal
put op/config "$(config 7 seventh)"
in_force seventh
[ "$(cat "$WORK"/r?.log | grep -c '"store-restored"')" = "$listed" ] && echo "no other epoch"

echo "# an entry that leaves is listed as staying"
copy
kill -TERM "$(pid_of r3)"
sleep 1.5
[ "$(named)" = "127.28.1.1:7901 127.28.1.2:7901 " ] && echo "not named"
restore
for n in 1 2 3 4 5 6 7 8; do sleep 0.3; [ "$(named)" = "127.28.1.1:7901 127.28.1.2:7901 " ] || echo "named"; done
while kill -0 "$(pid_of r3)" 2>/dev/null; do sleep 0.1; done

echo "# an entry that ended is listed again"
sleep 3
[ "$(named)" = "127.28.1.1:7901 127.28.1.2:7901 " ] && echo "not named"
restore
for n in 1 2 3 4 5 6 7 8; do sleep 0.3; [ "$(named)" = "127.28.1.1:7901 127.28.1.2:7901 " ] || echo "named"; done
