# Two gateways and the keys, names, regions and quotas of tenants.  Guards against
# requests that run without a key or under a wrong name, keys that reach an upstream, keys
# that stay in use after they were taken away, and a quota that each entry applies by itself.
. tests/lib.sh
store=http://127.63.9.1:7900
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }
start store "$BUILD/standin" metadata --listen 127.63.9.1:7900
start worker "$BUILD/standin" worker --listen 127.63.2.1:7910 --id i-1 --work-ms 5 --slots 50
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
# config VERSION TENANTS
config () {
  put op/config '{"version":'$1',"routes":[
    {"name":"shop","host":"shop.example","prefix":"/","kind":"safe","timeout_ms":4000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":2},
    {"name":"open","host":"shop.example","prefix":"/open/","public":true,"kind":"safe","timeout_ms":4000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":2}],
    "services":[{"name":"desk"}],"limits":{"max_body_bytes":100000},"tenants":['"$2"']}'
}
bakery='{"name":"bakery","api_keys":["k-1","k-2"],"priority":0}'
south='{"name":"south","api_keys":["k-3"],"allowed_regions":["south"]}'
small='{"name":"small","api_keys":["k-4"],"rate_per_s":10,"burst":5}'
config 1 "$bakery,$south,$small,{\"name\":\"twin\",\"api_keys\":[\"k-5\"]},{\"name\":\"other\",\"api_keys\":[\"k-5\"]}"
put servers/i-1 '{"service":"desk","address":"127.63.2.1:7910","zone":"north-a","slots":50,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'
for i in 1 2; do
  cat >"$WORK/g$i.json" <<EOF
{ "name": "g$i", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }, { "name": "south-a", "region": "south" }],
  "listen": { "callers": "127.63.1.$i:7901", "readiness": "127.63.1.$i:7902",
              "lookups": "127.63.1.$i:7903", "metrics": "127.63.1.$i:7904" },
  "store": { "address": "127.63.9.1:7900", "poll_ms": 100 },
  "quota": { "window_s": 5, "overage": 0.1, "slack": 20 },
  "retry": { "ratio": 1, "slack": 20 }, "cold": { "multiplier": 1.5, "slack": 5 } }
EOF
  start g$i "$BUILD/citroncleat" gateway -f "$WORK/g$i.json"
done
for i in 1 2; do wait_for 5 curl -sf -o /dev/null http://127.63.1.$i:7902/ready; done
n=0
# ask ENTRY PATH [ARGUMENTS OF CURL]: prints the status.
ask () {
  n=$((n + 1))
  curl -s -m 5 -o "$WORK/body" -w '%{http_code}\n' -H 'Host: shop.example' -H "Request-Id: t-$n" -H 'Deadline-Ms: 3000' \
    "${@:3}" "http://127.63.1.$1:7901$2"
}
key () { echo "Authorization: Token $1"; }
echo "a key: $(ask 1 /a -H "$(key k-1)")"
echo "another key of the tenant: $(ask 2 /a -H "$(key k-2)")"
echo "an unknown key: $(ask 1 /a -H "$(key nobody)")"
echo "no key: $(ask 1 /a)"
echo "an empty key: $(ask 1 /a -H 'Authorization: Token ')"
echo "another scheme: $(ask 1 /a -H 'Authorization: Bearer k-1')"
echo "two keys: $(ask 1 /a -H "$(key k-1)" -H "$(key k-2)")"
echo "a key of 10,000 bytes: $(ask 1 /a -H "$(key "$(head -c 10000 /dev/zero | tr '\0' k)")")"
echo "a key of two tenants: $(ask 1 /a -H "$(key k-5)")"
echo "a body without a key: $(ask 1 /a -H 'Expect:' --data-binary @/bin/sh)"
echo "a public route, no key: $(ask 1 /open/a)"
echo "a public route, a key: $(ask 1 /open/a -H "$(key k-1)")"
echo "a region without upstreams: $(ask 1 /a -H "$(key k-3)")"
echo "a key after all that: $(ask 1 /a -H "$(key k-1)")"
echo "in the log:$(sleep 0.3; grep -ho '"status":200.*"tenant":"[a-z][a-z]*"' "$WORK"/g?.log | sed 's/.*"tenant":"\(.*\)"/ \1/' | sort | uniq -c | awk '{printf " %s %s", $2, $1}')"

# The share of an entry is a quarter in its first 4 s.
sleep 5
flood () { # ENTRY COUNT: at once; prints the statuses
  curl -s -m 5 --parallel --parallel-immediate --parallel-max 50 -H 'Host: shop.example' -H 'Request-Id: flood' -H 'Deadline-Ms: 3000' \
    -H "$(key k-4)" -o /dev/null -w '%{http_code} %header{retry-after}\n' "http://127.63.1.$1:7901/[1-$2]"
}
flood 1 100 >"$WORK/one" &
one=$!
flood 2 100 >"$WORK/two"
wait $one
served=$(cat "$WORK/one" "$WORK/two" | grep -c '^200')
# rate 10 x 5 s + burst 5, by 0.1 more, and 20.
if [ "$served" -ge 5 ] && [ "$served" -le 80 ]; then echo "a flood at both entries: within the quota"; else echo "a flood: $served served"; fi
echo "the others: $(cat "$WORK/one" "$WORK/two" | sed -n 's/^\(429\|503\) [0-9][0-9.]*$/refused with Retry-After/p;t;/^200/!p' | sort -u)"
echo "another tenant meanwhile: $(ask 1 /a -H "$(key k-1)")"

config 2 "{\"name\":\"bakery\",\"api_keys\":[\"k-2\"]},$small"
sleep 1
echo "a key that was taken away: $(ask 1 /a -H "$(key k-1)") $(ask 2 /a -H "$(key k-1)")"
echo "the one that is left: $(ask 1 /a -H "$(key k-2)") $(ask 2 /a -H "$(key k-2)")"
