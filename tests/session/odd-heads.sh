# Responses of an upstream whose head is odd, through a gateway on 127.49.0.0/16 and
# through an entry.  Guards against a caller who gets a response that is none, a field
# that isn't one, or a body that ends where the upstream's does not, and against sound
# responses, however rare, that are lost.
. tests/session/deployment.sh
store=http://127.49.9.1:7900
gateway=http://127.49.1.1:7901
entry=http://127.23.0.1:7600
put () { curl -s -X PUT --data-binary "$2" "$store/_put?key=$1" -o /dev/null; }

start store "$BUILD/standin" metadata --listen 127.49.9.1:7900
start faulty-upstream "$BUILD/standin" faulty-upstream --listen 127.49.2.1:9000 --stamp s
cat >"$WORK/gateway.json" <<EOF
{ "name": "g1", "zone": "north-a", "region": "north",
  "zones": [{ "name": "north-a", "region": "north" }],
  "listen": { "callers": "127.49.1.1:7901", "readiness": "127.49.1.1:7902",
              "lookups": "127.49.1.1:7903", "metrics": "127.49.1.1:7904" },
  "store": { "address": "127.49.9.1:7900", "poll_ms": 100 },
  "retry": { "ratio": 1, "slack": 200 }, "cold": { "multiplier": 1.5, "slack": 5 },
  "log_lines_per_s": 10000 }
EOF
wait_for 5 curl -s -o /dev/null "$store/kv-range?prefix=x"
start g1 "$BUILD/citroncleat" gateway -f "$WORK/gateway.json"
put op/config '{"version":1,"routes":[{"name":"r","host":"shop.example","prefix":"/","kind":"unsafe","timeout_ms":5000,"target_latency_ms":900,"priority":1,"service":"desk","max_attempts":1}],"services":[{"name":"desk"}],"limits":{"max_header_bytes":16384}}'
put servers/i-1 '{"service":"desk","address":"127.49.2.1:9000","zone":"north-a","slots":200,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}'

start_platform
cat >"$WORK/odd.json" <<EOF
{ "resources": [
  { "kind": "region", "name": "north", "spec": {} },
  { "kind": "zone", "name": "north-a", "spec": { "region": "north" } },
  { "kind": "service", "name": "shop", "spec": { "hosts": ["shop.example"], "deadline_ms": 5000 } },
  { "kind": "upstream-group", "name": "rude", "spec": { "service": "shop", "zone": "north-a", "slots": 9, "connections": 30 } },
  { "kind": "upstream", "name": "rude-1", "spec": { "group": "rude", "address": "127.49.2.1:9000" } }
] }
EOF
start_entry 1 north-a north
wait_for 5 client apply -f "$WORK/odd.json"
is_served () { # URL
  [ "$(curl -s -m 2 -X POST -d order -o /dev/null -w '%{http_code}' -H 'Host: shop.example' -H 'Request-Id: calm' -H 'X-Caller-Token: calm' -H 'Deadline-Ms: 1500' "$1/calm")" = 200 ]
}
wait_for 5 is_served $gateway
wait_for 5 is_served $entry

# odd URL FAULT: prints the status of an unsafe call, its body and the field X-Odd if
# the response is the upstream's, and how often it ran if not once.
odd () {
  local status ran
  local token=$2-${1##*:}
  : >"$WORK/body"
  status=$(curl -s -m 8 -X POST -d order -H 'Host: shop.example' -H "Request-Id: $token" -H "X-Caller-Token: $token" \
    -H 'Deadline-Ms: 4000' -H "X-Fault: $2" -D "$WORK/head" -o "$WORK/body" -w '%{http_code}' "$1/x") || status="$status, cut off"
  ran=$(curl -s -m 2 "http://127.49.2.1:9000/_runs/$token" | sed 's/.*"token":"\([0-9]*\)".*/\1/')
  [ "$ran" = 1 ] || status="$status, run ${ran:-?}"
  case $status in
    2* | 404 | 599) printf '%s "%s"' "$status" "$(head -c 40 "$WORK/body")"
      tr -d '\r' <"$WORK/head" | sed -n 's/^X-Odd: */, X-Odd "/ip' | sed 's/$/"/' | tr -d '\n' ;;
    *) printf '%s' "$status" ;;
  esac
}
play () { # FAULT...
  local fault
  for fault; do
    printf '%-22s gateway %s; entry %s\n' "$fault" "$(odd $gateway "$fault")" "$(odd $entry "$fault")"
    # An upstream that fails three times in a row gets no calls for a time.
    is_served $gateway && is_served $entry || echo "not served any more"
  done
}
echo "# malformed: the request may have run, and its caller hears that"
play status-000 status-0200 status-20 status-2000 status-099 status-600 status-999 status-letter status-sign status-none status-101 status-control status-two-blanks version-2 version-none version-lower version-11 version-after-blank name-blank name-blank-end name-tab-end name-control name-delete name-null name-high name-brackets name-empty name-status no-colon value-control value-return value-null length-blank length-name coding-blank length-other length-sign length-list length-word length-hex length-negative length-empty length-large length-folded coding-and-length coding-gzip coding-other interim-length interim-blank coding-old coding-twice fold-first
echo "# sound"
play plain sound-old sound-no-reason sound-no-reason-blank sound-reason sound-299 sound-404 sound-599 sound-fold sound-fold-colon sound-empty sound-tab sound-blanks sound-no-blank sound-high sound-token sound-lines sound-length-twice sound-length-zeros sound-interim sound-chunked sound-close sound-204
echo "# both serve on"
is_served $gateway && is_served $entry && echo "served"
