# One entry, and upstreams that say in their responses that they leave, or that
# turn requests away for a stated time.  Guards against requests that are sent to
# either later than allowed, whatever the store lists; against a newcomer that is
# shunned for its address; and against callers that wait for upstreams that have
# all turned them away.
. tests/lib.sh

store=http://127.34.9.1:7900
leaving_ms=1000
upstream_record () { # N [ID-NUMBER]: the registry entry of the upstream at 127.34.2.N, renewed by `renew'
  echo "{\"service\":\"desk\",\"address\":\"127.34.2.$1:7910\",\"zone\":\"north-a\",\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":${2:-$1}}"
}
route () { # NAME KIND
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"/$1/\",\"kind\":\"$2\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\"sticky_sessions\":true,\"allowed_regions\":[]}"
}
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
drop () { curl -s -X PUT "$store/_drop?key=$1" -o /dev/null; }
set_mode () { # N MODE [NAME=VALUE...]: of the upstream at 127.34.2.N
  local n=$1 mode=$2 values=() v
  shift 2
  for v; do values+=(--data-urlencode "$v"); done
  curl -s -G -X PUT -o /dev/null "${values[@]}" "http://127.34.2.$n:7910/_mode?mode=$mode"
}
runs () { curl -s "http://127.34.2.$1:7910/_runs" | sed 's/ ran.*//'; }
late () { curl -s "http://127.34.2.$1:7910/_late?ms=$leaving_ms"; }
# kept N: whether it got at most two requests in the time that it had stated.
kept () { late "$1" | awk '{ print ($4 <= 2 ? "time kept" : $4 " requests within the time") }'; }
forget () { curl -s -X PUT -o /dev/null "http://127.34.2.$1:7910/_late"; }
# call METHOD PATH KEY [CURL-OPTIONS]: makes one call and prints the status and the
# upstream.
call () {
  local method=$1 path=$2 key=$3 body=$WORK/body.$BASHPID
  shift 3
  echo >>"$WORK/calls"
  curl -s -m 9 -X "$method" -H 'Host: shop.example' -H "Request-Id: g-$BASHPID-$RANDOM$RANDOM" -H 'Deadline-Ms: 4000' \
    -H "Cookie: Affinity-Key=$key" -w '%{http_code} ' -o "$body" "$@" "http://127.34.1.1:7901$path"
  echo "$(sed "1s/^\(i-[0-9]*\) .*/\1/; q" "$body")"
}
# load SECONDS: callers of all sorts of objects; prints which statuses they got.
load () {
  local c callers="" until
  until=$(awk "BEGIN { printf \"%.0f\", ${EPOCHREALTIME/./} + $1 * 1000000 }")
  for c in 1 2 3; do
    while [ "${EPOCHREALTIME/./}" -lt $until ]; do call GET /look/1 $RANDOM; done >"$WORK/load.$c" &
    callers="$callers $!"
  done
  wait $callers
  sed 's/ .*//' "$WORK"/load.[123] | sort -u | tr '\n' ' '
  echo
}
# find_key ID: sets K to a key whose requests go to the upstream ID.
find_key () {
  for K in $(seq 100 400); do [ "$(call POST /jobs/1 "$K")" = "200 $1" ] && return; done
  echo "no request reaches $1"
}
start_entry () {
  cat >"$WORK/g.json" <<END
{ "name": "g", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.34.1.1:7901", "readiness": "127.34.1.1:7902",
              "lookups": "127.34.1.1:7903", "metrics": "127.34.1.1:7904" },
  "store": { "address": "127.34.9.1:7900", "leaving_ms": $leaving_ms },
  "retry": { "ratio": 1, "slack": 100 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "stop_s": 6, "log_lines_per_s": 10000 }
END
  start g "$BUILD/citroncleat" gateway -f "$WORK/g.json"
  wait_for 5 curl -sf -o /dev/null http://127.34.1.1:7902/ready
}
start_upstream () { start "w$1" "$BUILD/standin" worker --listen 127.34.2.$1:7910 --id "i-$2"; } # N ID-NUMBER
end_upstream () { kill -KILL "$(pid_of "w$1")" && wait "$(pid_of "w$1")" 2>/dev/null; }
# renew: goes on writing the records of the upstreams named in $WORK/listed, as they
# would.
renew () {
  local id
  while sleep 0.3; do
    for id in $(cat "$WORK/listed"); do curl -s -X PUT "$store/_renew?key=servers/$id&count=1" -o /dev/null; done
  done
}

start store "$BUILD/standin" metadata --listen 127.34.9.1:7900
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
put op/config "{\"version\":1,\"routes\":[$(route look safe),$(route jobs unsafe)],\"services\":[{\"name\":\"desk\",\"max_connections\":100,\"cold_start_s\":1.0,\"cold_per_s\":10.0}],\"limits\":{\"max_body_bytes\":100000}}"
for i in 1 2 3; do start_upstream $i $i; put servers/i-$i "$(upstream_record $i)"; done
echo i-1 i-2 i-3 >"$WORK/listed"
renew &
PIDS="$PIDS $!"
curl -s -X PUT "$store/_copy" -o /dev/null
start_entry

echo "# an upstream says that it leaves, its record says ready and is renewed"
find_key i-1
set_mode 1 long
call POST /jobs/1 $K >"$WORK/at-work" &
at_work=$!
sleep 0.3
set_mode 1 leaving
call POST /jobs/2 $K
wait $at_work
echo "the request at work there: $(cat "$WORK/at-work")"
for n in 1 2 3; do call POST /jobs/$n $K; done | sed 's/i-[23]/another/' | sort -u
load 2.2
late 1 | cut -d, -f1

echo "# a store that comes back from an older copy"
curl -s -X PUT "$store/_restore" -o /dev/null
load 2.2
late 1 | cut -d, -f1

echo "# the address in use again, by another upstream and by the same one after a restart"
end_upstream 1
echo i-2 i-3 i-4 >"$WORK/listed"
sleep 0.3
drop servers/i-1
start_upstream 1 4
put servers/i-4 "$(upstream_record 1 4)"
load 2
[ "$(runs 1)" -gt 0 ] && echo "the newcomer is used"
set_mode 1 leaving
load 1.8
late 1 | cut -d, -f1
end_upstream 1
start_upstream 1 4
put servers/i-4 "$(upstream_record 1 5)"
load 2
[ "$(runs 1)" -gt 0 ] && echo "the newcomer is used"

echo "# a restart of the entry"
set_mode 2 leaving
load 2
kill -KILL "$(pid_of g)"
start_entry
forget 2
ran=$(runs 2)
for n in $(seq 40); do call GET /look/1 $n; done | sed "s/^200 .*/200/" | sort -u
echo "$(($(runs 2) - ran)) told it again"
load 1.8
late 2 | cut -d, -f1

echo "# the response of an upstream that refuses, breaks off or is another one"
end_upstream 2
start_upstream 2 2
put servers/i-2 "$(upstream_record 2 6)"
load 2
for mode in full short; do
  find_key i-2
  set_mode 2 $mode leaving=yes
  call POST /jobs/1 $K >/dev/null
  set_mode 2 normal
  ran=$(runs 2)
  load 1
  [ "$(runs 2)" = "$ran" ] && echo "$mode: nothing more ran there"
  end_upstream 2
  start_upstream 2 2
  put servers/i-2 "$(upstream_record 2 $((10 + ran)))"
  load 1
done

echo "# another upstream at the address refuses with 421 and says that it leaves"
end_upstream 2
start_upstream 2 9
set_mode 2 leaving
for n in $(seq 40); do call GET /look/1 $n; done | sed "s/^200 .*/200/" | sort -u
grep -q '"event":"attempt-failed".*"status":421' "$WORK/g.log" && echo "it was asked"
end_upstream 2
start_upstream 2 2
load 4
[ "$(runs 2)" -gt 0 ] && echo "the one that is listed is used when it is back"

echo "# a request is sent to another upstream when it is late; the response that is not waited for says that its upstream leaves"
find_key i-2
set_mode 2 long
call GET /look/1 $K >"$WORK/late-answer" &
late=$!
sleep 0.2
set_mode 2 leaving
wait $late
sed 's/i-[13]$/another/' "$WORK/late-answer"
sleep 1
set_mode 2 normal
ran=$(runs 2)
load 1
[ "$(runs 2)" -gt "$ran" ] && echo "it is used"

# turned_away NAME SECONDS MODE-VALUES...: one upstream turns away for so long; what
# arrives there in the time that it states, and whether it is used after that.
turned_away () {
  local name=$1 seconds=$2 ran
  shift 2
  forget 3
  set_mode 3 away "$@"
  load "$seconds"
  echo "$name: $(kept 3)"
  set_mode 3 normal
  ran=$(runs 3)
  load 1.5
  [ "$(runs 3)" -gt "$ran" ] && echo "$name: used again"
}
echo "# an upstream turns requests away"
turned_away "for 1 s" 2 retry_after=1
turned_away "for 3 s" 3 for_ms=3000
turned_away "without a time" 1
turned_away "for 0 s" 1 retry_after=0
turned_away "until a date" 3 "retry_after=$(TZ=GMT date -d '+3 seconds' '+%a, %d %b %Y %H:%M:%S GMT')"
turned_away "until a date in the past" 1 "retry_after=Sat, 05 Dec 2020 10:00:00 GMT"
turned_away "for garbage" 1 retry_after=1x
turned_away "for a negative time" 1 retry_after=-3

echo "# it refuses and states a day"
forget 3
set_mode 3 away retry_after=86400
load 2.5
kept 3

echo "# all upstreams turn requests away for 3 s"
for i in 1 2 3; do set_mode $i away for_ms=3000; done
load 1 >/dev/null
: >"$WORK/refused"
for n in $(seq 10); do
  curl -s -m 5 -X POST -H 'Host: shop.example' -H "Request-Id: g-all-$n" -H 'Deadline-Ms: 4000' -D "$WORK/head" -o "$WORK/body.all" \
    -w '%{http_code} %{time_total}\n' http://127.34.1.1:7901/jobs/1 >"$WORK/one"
  echo "$(cat "$WORK/one") $(sed -n 's/^Retry-After: *\([0-9.]*\).*/\1/pI' "$WORK/head")" >>"$WORK/refused"
done
echo "$(head -1 "$WORK/body.all")"
awk '{ print $1, ($2 < 0.5 ? "at once" : "late"), ($3 > 0.5 && $3 < 4.5 ? "with about the time of the first return" : "with another time " $3) }' "$WORK/refused" | sort -u
[ "$(awk '{ print $3 }' "$WORK/refused" | sort -u | wc -l)" -ge 5 ] && echo "at different times"
sleep 3
load 2
for i in 1 2; do kept $i; done
