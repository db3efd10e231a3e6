# A deployment for session tests, on 127.23.0.0/16: entries eN at 127.23.0.N, by
# default e1 and e2 in region north and e3 in region south, and stand-ins for the
# store, the platform's VM list and the upstreams of tests/session/resources.json.
# Sourced from the root of the tree; not a test itself.
. tests/lib.sh
export CITRONCLEAT_ENTRY=127.23.0.1:7800
STORE=127.23.255.1:7500
REPORT=127.23.255.1:7502

# write_settings N ZONE REGION: writes the settings of entry eN and prints the
# name of the file.
write_settings () {
  cat >"$WORK/e$1.json" <<EOF
{
  "name": "e$1", "zone": "$2", "region": "$3",
  "listen": { "callers": "127.23.0.$1:7600", "peers": "127.23.0.$1:7700", "operators": "127.23.0.$1:7800" },
  "store": { "url": "http://$STORE", "timeout_ms": 300 },
  "vm_list": { "url": "http://127.23.255.1:7501", "poll_ms": 500 },
  "peers": { "key": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
             "seeds": ["127.23.0.1:7700", "127.23.0.2:7700"] },
  "operators": { "token": "demonstration-token" },
  "limits": { "header_timeout_s": 1, "idle_timeout_s": 2, "resource_body_bytes": 65536 },
  "log": { "format": "json" }, "stop": { "timeout_s": 30 }
}
EOF
  echo "$WORK/e$1.json"
}

# start_entry N ZONE REGION
start_entry () { start "e$1" "$BUILD/citroncleat" entry -f "$(write_settings "$@")"; }

start_platform () {
  start platform "$BUILD/standin" platform --store $STORE --vms 127.23.255.1:7501
  wait_for 5 curl -sf "http://$STORE/_control"
}

# start_upstreams [RESOURCES]: one process for all upstreams that the file declares.
start_upstreams () {
  start upstreams "$BUILD/standin" upstreams -f "${1:-tests/session/resources.json}" \
    --report $REPORT --service-ms 5 --lag-ms 500
  wait_for 5 curl -sf "http://$REPORT/"
}

# start_entries: e1, e2 and e3, and waits until they know of each other.
start_entries () {
  start_entry 1 north-a north
  start_entry 2 north-b north
  start_entry 3 south-a south
  wait_for 5 all_serving 3
}

# call METHOD PATH [CURL ARGUMENTS]: makes one call and prints it and its
# response, without what differs from run to run.  The environment variables AT
# (IP:PORT of the entry), HOST and TOKEN (header X-Caller-Token) change the call.
call () {
  local method=$1 path=$2
  shift 2
  echo "> $method $path $*" | normalise
  curl -s -i -m 10 -X "$method" -H "Host: ${HOST:-shop.example}" -H "X-Caller-Token: ${TOKEN:-tok}" "$@" \
    "http://${AT:-127.23.0.1:7600}$path" | tr -d '\r' | normalise
  echo
}

# normalise: replaces, in the text on standard input, what differs from run to run.
normalise () {
  grep -v -E '^(Date|Connection|HTTP/1.1 100)' |
    sed -E -e 's/[0-9a-f]{16}-[0-9a-f]+/ID/g' -e 's/"upstream":"[a-z0-9-]+"/"upstream":"U"/' \
      -e 's/"peer":"[a-z]+-[0-9]"/"peer":"U"/' -e "s#$WORK#WORK#g" -e 's/after [0-9]+ ms/after N ms/' \
      -e 's/port [0-9]+/port P/' -e 's/^(Content-Length): .*/\1: N/'
}

# run ARGUMENTS: runs the command-line client and prints the command, its output
# and its exit status.
run () {
  echo "\$ citroncleat $*" | normalise
  client "$@" 2>&1 | normalise
  echo "exit ${PIPESTATUS[0]}"
}
