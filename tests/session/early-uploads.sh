# Uploads of 4 MB, with a length or in chunks, whose upstream responds before it has read the
# body and reads on, through a gateway on 127.55.0.0/16.  Guards against a body that is
# cut short and ended as if it were whole, and whose caller is told that it arrived.
. tests/lib.sh
store=http://127.55.9.1:7900
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
cat >"$WORK/gateway.json" <<END
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.55.1.1:7901", "readiness": "127.55.1.1:7902",
              "lookups": "127.55.1.1:7903", "metrics": "127.55.1.1:7904" },
  "store": { "address": "127.55.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 200 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "log_lines_per_s": 10000 }
END
start store "$BUILD/standin" metadata --listen 127.55.9.1:7900
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.55.2.1:9000 --stamp s --mss 1460
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","kind":"upload","timeout_ms":5000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"desk"}],"limits":{"max_body_bytes":67108864}}'
put servers/i-1 '{"service":"desk","address":"127.55.2.1:9000","zone":"north-a","slots":200,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'
is_served () {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H 'Request-Id: calm' -H 'X-Caller-Token: calm' \
    -H 'Deadline-Ms: 1500' http://127.55.1.1:7901/calm)" = 200 ]
}
wait_for 5 is_served
head -c 4000000 /dev/zero >"$WORK/upload"
# upload CODING FORM SIZE RATE: prints how an upload ended at its caller and at its upstream.
upload () {
  local token=$1-$2-$3-$4 source=$WORK/upload status got result=0 seen
  # Without a length curl sends chunks.
  [ "$1" = length ] || source=-
  status=$(curl -s -m 20 -X POST --limit-rate "$4" -T "$source" -H 'Host: shop.example' -H "Request-Id: $token" \
    -H "X-Caller-Token: $token" -H 'Deadline-Ms: 4000' -H 'Expect:' -H 'X-Fault: early-continue' -H "X-Form: $2" -H "X-Body: $3" \
    -o "$WORK/body" -w '%{http_code}' http://127.55.1.1:7901/x <"$WORK/upload") || result=$?
  got=$(stat -c %s "$WORK/body")
  [ $result = 0 ] && [ "$got" = "$3" ] || status="$status, cut off"
  wait_for 2 grep -q "^early $token:" "$WORK/faulty-upstream.log"
  seen=$(sed -n "s/^early $token: //p" "$WORK/faulty-upstream.log")
  case $seen in
    "4000000 bytes, ended") seen="whole" ;;
    *ended) seen="$seen AS IF WHOLE" ;;
    *"broken off") seen="cut, and known to be" ;;
    *) seen="none" ;;
  esac
  echo "upload: $1, response: $2, $3 bytes, at $4/s: caller $status; upstream $seen"
}
for coding in length chunks; do for form in length chunked; do for size in 1000 600000; do
  for rate in 4M 1G; do upload $coding $form $size $rate; done
done; done; done
