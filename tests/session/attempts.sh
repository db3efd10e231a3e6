# How often a request is sent: refusals don't count as attempts of its route, runs do;
# a caller that leaves is neither served, refused nor failed; a store that refuses the
# entry's own key is asked again; and a reload of region_shift concerns the divisions in
# force.
. tests/lib.sh

store=http://127.46.9.1:7900
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
set_store () { curl -s -X PUT "$store/_mode?mode=$1" -o /dev/null; }
mode () { local n=$1; shift; curl -s -X PUT -o /dev/null "http://127.46.2.$n:7910/_mode?mode=$1"; }
runs () { local n=0 i; for i in 1 2 3; do n=$((n + $(curl -s "http://127.46.2.$i:7910/_runs" | sed 's/ ran.*//'))); done; echo $n; }
route () { # NAME KIND MAX_ATTEMPTS SERVICE
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"/$1/\",\"kind\":\"$2\",\"timeout_ms\":3000,\"target_latency_ms\":900,\"priority\":1,\"service\":\"$4\",\"max_attempts\":$3}"
}
start_upstream () { # N SERVICE ZONE SLOTS WORK_MS
  start "w$1" "$BUILD/standin" worker --listen 127.46.2.$1:7910 --id "i-$1" --service "$2" --slots "$4" --work-ms "$5"
  wait_for 5 curl -s -o /dev/null "http://127.46.2.$1:7910/healthz"
  put "servers/i-$1" "{\"service\":\"$2\",\"address\":\"127.46.2.$1:7910\",\"zone\":\"$3\",\"slots\":$4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$1}"
}
write_settings () { # REGION_SHIFT
  cat >"$WORK/g1.json" <<END
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }, { "name": "south-a", "region": "south" }],
  "listen": { "callers": "127.46.1.1:7901", "readiness": "127.46.1.1:7902",
              "lookups": "127.46.1.1:7903", "metrics": "127.46.1.1:7904" },
  "store": { "address": "127.46.9.1:7900", "lease_ms": 3000 }, "region_shift": $1,
  "retry": { "ratio": 1, "slack": 1000 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
END
}
call () { # PATH [CURL-OPTIONS]: prints the status
  curl -s -o /dev/null -w '%{http_code}\n' -H 'Host: shop.example' -H "Request-Id: r-$RANDOM$RANDOM" "${@:2}" "http://127.46.1.1:7901$1"
}
outcomes () { # ROUTE: what was counted since the last call
  curl -s http://127.46.1.1:7904/metrics | grep -E "^citroncleat_requests_total.*route=\"$1\"" | sed -E 's/.*outcome="([a-z]*)".* /\1 /' | sort >"$WORK/outcomes.new"
  join "$WORK/outcomes.new" "$WORK/outcomes" 2>/dev/null | awk '$2 > $3 { print $1, $2 - $3 }'
  cp "$WORK/outcomes.new" "$WORK/outcomes"
}

start store "$BUILD/standin" metadata --listen 127.46.9.1:7900
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "{\"version\":1,\"routes\":[$(route once safe 1 desk),$(route twice safe 2 desk),$(route thrice safe 3 desk),$(route jobs unsafe 3 desk),$(route shift safe 1 split)],\"services\":[{\"name\":\"desk\"},{\"name\":\"split\"}],\"limits\":{\"max_body_bytes\":100000}}"
for n in 1 2 3; do start_upstream $n desk north-a 8 20; done
start_upstream 4 split north-a 20 100
start_upstream 5 split south-a 20 100
write_settings 0.1
set_store busy
start g1 "$BUILD/citroncleat" gateway -f "$WORK/g1.json"
sleep 1
set_store normal
wait_for 10 curl -sf -o /dev/null http://127.46.1.1:7902/ready

echo "# the store, which refused everything for a second, has the entry's key"
wait_for 5 sh -c "curl -s '$store/kv-range?prefix=citroncleat/entries/' | grep -q entries/g1" && echo yes

echo "# refusals by two upstreams of three, one attempt allowed: served"
for i in $(seq 20); do call /once/$i >/dev/null; done # which earns retries
mode 1 full; mode 2 full
for i in 1 2 3 4 5 6; do call /once/$i; done | sort | uniq -c | sed 's/^ *//'
echo "# answers that break off: as many runs as attempts are allowed"
for n in 1 2 3; do mode $n short; done
for route in once twice thrice jobs; do
  before=$(runs)
  call /$route/1 $([ $route = jobs ] && echo -X POST) >/dev/null
  sleep 0.2
  echo "$route: $(($(runs) - before))"
  sleep 1.2 # upstreams that fail are avoided for a time
done

echo "# a caller that leaves while its request runs"
for n in 1 2 3; do mode $n long; done
sleep 1
outcomes once >/dev/null
call /once/1 -m 0.3 >/dev/null
sleep 0.3
outcomes once

echo "# region_shift 0.1 to 1: requests move to the other region faster"
start load "$BUILD/standin" load --url http://127.46.1.1:7901/shift/1 --host shop.example --connections 24 --seconds 60
moved () { # SECONDS: by how many hundredths the fraction of the other region grows
  local before after
  before=$(grep '"region-split","service":"split"' "$WORK/g1.log" | tail -n 1 | sed -E 's/.*south:([0-9.]*):.*/\1/')
  sleep "$1"
  after=$(grep '"region-split","service":"split"' "$WORK/g1.log" | tail -n 1 | sed -E 's/.*south:([0-9.]*):.*/\1/')
  awk -v a="${after:-0}" -v b="${before:-0}" 'BEGIN { print int((a - b) * 100) }'
}
sleep 2
slow=$(moved 3)
write_settings 1
kill -HUP "$(pid_of g1)"
fast=$(moved 3)
# 1.65 and 16.5 hundredths a second; the line on it comes once a second at most.
[ "$slow" -gt 0 ] && [ "$slow" -le 8 ] && [ "$fast" -ge 20 ] && echo "yes" || echo "$slow, then $fast hundredths in 3 s"
