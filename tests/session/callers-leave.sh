# Guards against requests whose callers have gone and that stay open until a time-out
# (issue 32): callers that close their connection in the same moment as their last
# bytes, in each state of a request, at a gateway on 127.43.0.0/16. Each request must
# have ended within a second, and a stop must not wait for it.
. tests/lib.sh
store=http://127.43.9.1:7900
metrics=http://127.43.1.1:7904/metrics
callers=10
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
route () { # NAME SERVICE
  echo "{\"name\":\"$1\",\"host\":\"shop.example\",\"prefix\":\"/$1/\",\"kind\":\"unsafe\",\"timeout_ms\":20000,\"target_latency_ms\":20000,\"priority\":1,\"service\":\"$2\",\"max_attempts\":1}"
}
upstream () { # SERVICE HOST SLOTS
  put "servers/i-$1" "{\"service\":\"$1\",\"address\":\"127.43.2.$2:9000\",\"zone\":\"north-a\",\"slots\":$3,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$2}"
}
cat >"$WORK/gateway.json" <<END
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.43.1.1:7901", "readiness": "127.43.1.1:7902",
              "lookups": "127.43.1.1:7903", "metrics": "127.43.1.1:7904" },
  "store": { "address": "127.43.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 100 }, "cold": { "multiplier": 100, "slack": 100 },
  "log_lines_per_s": 10000 }
END
start store "$BUILD/standin" metadata --listen 127.43.9.1:7900
start u1 "$BUILD/standin" faulty-upstream --listen 127.43.2.1:9000 --stamp s
start u2 "$BUILD/standin" worker --listen 127.43.2.2:9000 --id i-narrow --work-ms 15000 --slots 20
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config "{\"version\":1,\"routes\":[$(route wide wide),$(route narrow narrow),$(route none none)],\"services\":[{\"name\":\"wide\"},{\"name\":\"narrow\"},{\"name\":\"none\"}]}"
upstream wide 1 200
upstream narrow 2 20
wait_for 5 curl -sf -o /dev/null http://127.43.1.1:7902/ready

# head_of PATH [FIELD...]: prints the head of a request, without the last line end.
head_of () {
  printf 'POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: leave\r\nDeadline-Ms: 20000\r\n' "$1"
  shift
  [ $# = 0 ] || printf '%s\r\n' "$@"
}
whole () { head_of "$@" 'Content-Length: 4'; printf '\r\nbody'; }
open_requests () { curl -s "$metrics" | awk '$1 == "citroncleat_open_requests" { print $2 }'; }
# leave NAME BEFORE LAST [SECONDS]: callers send the file BEFORE, and SECONDS later the
# file LAST and close their connections while the gateway does not run, so that it
# finds the last bytes and the end together.
leave () {
  local fd fds="" open before kept ended=no
  kept=$(open_requests)
  for ((n = 0; n < callers; n++)); do
    exec {fd}<>/dev/tcp/127.43.1.1/7901
    fds="$fds $fd"
    cat "$2" >&$fd
  done
  sleep "${4:-0}"
  before=$(($(open_requests) - kept))
  kill -STOP "$(pid_of g1)"
  for fd in $fds; do
    cat "$3" >&$fd
    exec {fd}>&-
  done
  kill -CONT "$(pid_of g1)"
  # A second, and half of one for the read.
  for ((n = 0; n < 15; n++)); do
    sleep 0.1
    open=$(open_requests)
    # A stop ends with the last request; how many it left is printed below.
    if [ "$open" = "$kept" ] || ! kill -0 "$(pid_of g1)" 2>/dev/null; then ended=yes; fi
    [ $ended = no ] || break
  done
  # Of requests that came with the end none were open before.
  [ -z "${4:-}" ] || [ $before = 0 ] || echo "$1: open"
  if [ $ended = yes ]; then echo "$1: ended"; else echo "$1: $((open - kept)) of $callers are open"; fi
}
: >"$WORK/nothing"
head_of /wide/1 >"$WORK/part-of-head"
{ head_of /wide/1 'Content-Length: 9'; printf '\r\nhalf'; } >"$WORK/part-of-body"
{ head_of /wide/1 'Transfer-Encoding: chunked'; printf '\r\n9\r\nhalf'; } >"$WORK/part-of-chunk"
{ head_of /none/1 'Content-Length: 9'; printf '\r\nhalf'; } >"$WORK/part-refused"
{ head_of /wide/1 'Content-Length: 3000000'; printf '\r\n'; printf '%01200000d' 0; } >"$WORK/part-of-large"
whole /wide/1 'X-Fault: slow-head' >"$WORK/unanswered"
whole /wide/1 'X-Fault: slow-body' >"$WORK/slow-answer"
whole /wide/1 >"$WORK/answered"
whole /narrow/1 >"$WORK/narrow"
printf 'more' >"$WORK/more"
cat "$WORK/answered" "$WORK/unanswered" >"$WORK/two"
cat "$WORK/answered" "$WORK/part-of-body" >"$WORK/whole-and-part"
leave "in the head" "$WORK/nothing" "$WORK/part-of-head"
leave "in the body" "$WORK/nothing" "$WORK/part-of-body"
leave "in the body, later" "$WORK/part-of-body" "$WORK/more" 0.3
leave "in a chunk" "$WORK/nothing" "$WORK/part-of-chunk"
leave "in the body of a refused request" "$WORK/nothing" "$WORK/part-refused"
leave "in a body that is being sent" "$WORK/part-of-large" "$WORK/more" 0.5
leave "in the body of the second request" "$WORK/answered" "$WORK/part-of-body" 0.3
leave "in the body of a second request, sent at once" "$WORK/nothing" "$WORK/whole-and-part"
leave "waiting for the answer" "$WORK/nothing" "$WORK/unanswered"
leave "waiting for the answer, later" "$WORK/unanswered" "$WORK/nothing" 0.3
leave "waiting for the answer to a second request, sent at once" "$WORK/nothing" "$WORK/two"
leave "in the answer" "$WORK/slow-answer" "$WORK/nothing" 0.3
holders=""
for ((n = 0; n < 20; n++)); do
  exec {holder}<>/dev/tcp/127.43.1.1/7901
  cat "$WORK/narrow" >&$holder
  holders="$holders $holder"
done
sleep 0.3
leave "queued" "$WORK/nothing" "$WORK/narrow"
leave "queued, later" "$WORK/narrow" "$WORK/nothing" 0.3
for holder in $holders; do exec {holder}>&-; done
wait_for 3 eval '[ "$(open_requests)" = 0 ]'
leave "before the stop" "$WORK/nothing" "$WORK/part-of-body"
curl -s "$metrics" | grep -E '^citroncleat_(http_cut|unfinished_requests)_total' | grep -v ' 0$' | cut -d' ' -f1
kill -TERM "$(pid_of g1)"
leave "during the stop" "$WORK/part-of-body" "$WORK/more" 0.3
wait "$(pid_of g1)"
sed -n 's/.*"event":"\(stopping\|stopped\)".*"open":\([0-9]*\).*/\1: \2 open/p' "$WORK/g1.log"
