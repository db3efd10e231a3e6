# Entries of another writer in the store, under odd names and with odd contents,
# among those that hold.  A page of the store's listing has one item, so that each
# entry is the one after which the next page begins.  Guards against a listing that
# fails, never ends or misses entries, an entry that takes the place of another
# one, and callers or requests that are sent where such an entry points to.
. tests/lib.sh

store=http://127.48.9.1:7900
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
put_raw () { curl -s -X PUT --data-binary "$2" "$store/_raw?key=$1" -o /dev/null; }
drop () { curl -s -X PUT "$store/_drop?key=$1" -o /dev/null; }
set_pages () { curl -s -X PUT "$store/_pages?items=$1" -o /dev/null; }
set_mode () { curl -s -X PUT "$store/_mode?mode=$1" -o /dev/null; }
upstream_record () { # N: the record of the upstream at 127.48.2.N
  echo "{\"service\":\"desk\",\"address\":\"127.48.2.$1:7910\",\"zone\":\"north-a\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$1}"
}
config () { # VERSION ROUTE
  echo "{\"version\":$1,\"routes\":[{\"name\":\"$2\",\"host\":\"shop.example\",\"prefix\":\"/$2/\",\"kind\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2}],\"services\":[{\"name\":\"desk\",\"cold_start_s\":1.0,\"cold_per_s\":10.0}],\"limits\":{\"max_body_bytes\":100000}}"
}
start_entry () { # N
  cat >"$WORK/g$1.json" <<END
{ "name": "g$1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.48.1.$1:7901", "readiness": "127.48.1.$1:7902",
              "lookups": "127.48.1.$1:7903", "metrics": "127.48.1.$1:7904",
              "copies": "127.48.1.$1:7905" },
  "seeds": ["127.48.1.1:7905", "127.48.1.2:7905"],
  "store": { "address": "127.48.9.1:7900", "in_force_ms": 2500, "leaving_ms": 2500 },
  "retry": { "ratio": 0.2, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 2, "log_lines_per_s": 10000 }
END
  start "g$1" "$BUILD/citroncleat" gateway -f "$WORK/g$1.json"
}
end () { { kill -KILL "$(pid_of "$1")" && wait "$(pid_of "$1")"; } 2>/dev/null; }
has_status () { # STATUS URL
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H "Request-Id: p-$RANDOM$RANDOM" "$2")" = "$1" ]
}
serves () { has_status 200 "http://127.48.1.$1:7901/$2/$RANDOM"; } # N ROUTE
runs () { curl -s "http://127.48.2.$1:7910/_runs" | sed 's/ ran.*//'; }
named () { curl -s "http://127.48.1.$1:7903/resolve?name=shop.example&region=north" | grep -o '127.48.1.[0-9]*:7901' | sort -u | tr '\n' ' '; }
has_listed () { grep -q '"store-listed"' "$WORK/g$1.log"; }
knows () { # N: how many upstreams the entry had after its listing
  sed -n 's/.*"store-listed".*"upstreams":\([0-9]*\).*/\1/p' "$WORK/g$1.log" | head -1
}
# check_start WHAT: an entry that starts now serves, and knows the three upstreams.
check_start () {
  start_entry 1
  if wait_for 4 serves 1 first && wait_for 2 has_listed 1; then echo "$1: served, $(knows 1) upstreams"; else echo "$1: NOT SERVED"; fi
  end g1
}

start store "$BUILD/standin" metadata --listen 127.48.9.1:7900
for i in 1 2 3 9; do start "w$i" "$BUILD/standin" worker --listen 127.48.2.$i:7910 --id i-$i; done
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "$(config 1 first)"
for i in 1 2 3; do put servers/i-$i "$(upstream_record $i)"; done
set_pages 1
check_start "no odd entry"

echo "# one odd name, whose record would hold under another one"
for name in 'a%26b' 'a%26prefix=op' 'a%2Bb' 'a%23b' 'a%25b' 'a%2541' 'a%25' 'a%20b' 'a%20' '%20' '%26' '%23' 'a%3Fb' 'a%3Db' \
  'a%22b' 'a%5Cb' 'a%3Bb' 'a%2Cb' 'a%7Cb' 'a%3Cb%3E' 'a%09b' 'a%0Ab' 'a%0D%0AX-Odd:%201' 'a%7Fb' '%C3%A4' 'a%C0%80' 'a%FF' \
  "$(printf '%%26%.0s' $(seq 190))" "i-1%20" 'i-1%26' 'z%23'; do
  put "servers/$name" "$(upstream_record 9)"
  check_start "${name:0:24}"
  drop "servers/$name"
done

echo "# odd contents under a name that could hold"
for value in '' '{' '[]' '7' 'null' '{"service":7}' '{"service":"desk","address":"127.48.2.9:7910/x?","zone":"north-a","slots":4,"state":"ready"}' \
  '{"service":"desk","address":"127.48.2.9:7910","zone":"north-a","slots":4,"state":"napping"}' \
  '{"service":"desk","address":"127.48.2.9:7910","zone":["north-a"],"slots":4,"state":"ready"}' "$(printf '\377\376')"; do
  put servers/i-9 "$value"
  check_start "${value:0:60}" | tr -d '\377\376'
done
drop servers/i-9

echo "# items that are none, in the place of an item of the listing"
b64=$(echo '{"state":"gone"}' | base64 -w0)
for item in null 7 '"text"' '[]' '{}' '{"key":null}' '{"key":7,"value":""}' '{"key":["servers/i-1"]}' '{"key":"","value":""}' \
  '{"key":"servers/i-1\u0000x","value":"'"$b64"'","revision":99}' '{"key":"op/config\u0000","value":"'"$b64"'","revision":99}' \
  '{"key":"servers/i-8"}' '{"key":"servers/i-8","value":null}' '{"key":"servers/i-8","value":7,"revision":"x"}' \
  '{"key":"servers/i-8","value":"*","revision":-1}' '{"key":"servers/i-8","value":{},"revision":1e300}'; do
  put_raw servers/i-8 "$item"
  # An item without a key is not one after which a page can begin.
  set_pages 2
  check_start "$item"
done
drop servers/i-8
set_pages 1

echo "# odd names in the other parts of the store"
put op/evacuate/north-b%26 1
put op/config%23 "$(config 99 odd)"
put citroncleat/entries/a%26b '{"callers":"127.48.1.9:7901","peers":"127.48.1.9:7904","zone":"north-a","leaving":false,"capacity":1e9}'
put citroncleat/entries/%20 '{"callers":"127.48.1.9:7901","peers":"127.48.1.9:7904","zone":"north-a","leaving":false,"capacity":1e9}'
put else%26where/%23 1
check_start "the operators' and the entries' part, and another"

echo "# while an entry runs, and in the copies that others get"
put 'servers/a%26b' "$(upstream_record 9)"
put 'servers/a%0Ab' "$(upstream_record 9)"
start_entry 1
wait_for 4 serves 1 first && echo "served"
put 'servers/c%23' "$(upstream_record 9)"
put_raw servers/i-8 '{"key":"servers/i-2\u0000","tombstone":true,"revision":9999}'
put_raw servers/i-7 7
set_pages 2
put op/config "$(config 2 second)"
wait_for 4 serves 1 second && echo "a change is followed"
# Paused, it can't read the change before the history is gone.
kill -STOP "$(pid_of g1)"
put op/config "$(config 3 third)"
set_mode compact
kill -CONT "$(pid_of g1)"
wait_for 4 serves 1 third && wait_for 2 grep -q store-history-gone "$WORK/g1.log" && echo "a change after the history is gone is followed"
named 1
echo
set_mode silent
start_entry 2
wait_for 4 serves 2 third && wait_for 2 has_listed 2 && echo "an entry starts from a copy: $(knows 2) upstreams"
set_mode normal
both_named () { [ "$(named 2)" = "127.48.1.1:7901 127.48.1.2:7901 " ]; }
wait_for 5 both_named && echo "both entries are named, and no other"
end g1
end g2

echo "# a listing that doesn't go on"
set_pages 1
drop servers/i-7
for mode in stuck hollow; do
  set_mode $mode
  start_entry 1
  sleep 2
  requests=$(curl -s http://127.48.1.1:7904/metrics | sed -n 's/^citroncleat_store_calls_total{at="store"} //p')
  if [ "${requests:-999}" -le 60 ]; then echo "$mode: few calls of the store"; else echo "$mode: $requests calls of the store"; fi
  set_mode normal
  wait_for 4 serves 1 third && echo "served afterwards"
  end g1
done
echo "runs at the upstream to which odd entries point: $(runs 9)"
