# Commands of an operator with the command-line client, right and wrong ones.
# Guards against a change of their output or exit status, which scripts of
# operators read.
. tests/session/deployment.sh
start_platform
start_upstreams
start_entries

run version
run apply -f tests/session/resources.json
wait_for 5 config_in_force_everywhere
run apply -f tests/session/resources.json
run get upstream
run describe service shop
echo "# a stale version is refused with both versions"
cat >"$WORK/stale.json" <<EOF
{ "kind": "upstream", "name": "shop-3", "version": 7,
  "spec": { "group": "shop-south", "address": "127.33.1.9:9000" } }
EOF
run apply -f "$WORK/stale.json"
echo "# all errors of a request are reported at once"
cat >"$WORK/faults.json" <<EOF
{ "resources": [
  { "kind": "upstream", "name": "bad name", "spec": { "group": "none", "address": "127.33.1.300:9000" } },
  { "kind": "service", "name": "other", "spec": { "host": ["o.example"], "deadline_ms": 0, "routes": [ { "path": "x", "class": "tall" } ] } }
] }
EOF
run apply -f "$WORK/faults.json"
echo '{ "resources": 5 }' >"$WORK/no-list.json"
run apply -f "$WORK/no-list.json"
echo '{ "kind": "upstrem" }' >"$WORK/kind.json"
run apply -f "$WORK/kind.json"
printf '{\n  "kind": ,\n}\n' >"$WORK/syntax.json"
run apply -f "$WORK/syntax.json"
echo "# one operation id is applied once"
cat >"$WORK/four.json" <<EOF
{ "kind": "upstream", "name": "shop-4", "version": 0,
  "spec": { "group": "shop-south", "address": "127.33.1.4:9000" } }
EOF
run apply -f "$WORK/four.json" --operation op-four
run apply -f "$WORK/four.json" --operation op-four
run get operation op-four
sed 's/"version": 0/"version": 2/; s/1.4:9000/1.5:9000/' "$WORK/four.json" >"$WORK/four-again.json"
run apply -f "$WORK/four-again.json" --operation op-four
run get operation op-none
run delete upstream shop-4
run get upstream shop-4
run drain upstream shop-1 --reason repair
wait_for 5 config_in_force_everywhere
run status
run watch --since 2 --count 1
run undrain upstream shop-1
run undrain upstream shop-1
run drain upstream nothing
run get upstream --token wrong-token-wrong
run get sheep
run get
run lookup shop --entry 127.23.0.3:7600 --region south --caller c
run lookup nothing --entry 127.23.0.3:7600
echo "# a path that is only read, or only written to, refuses other methods"
for path in status apply; do
  curl -s -X PUT -H "Authorization: Bearer $CITRONCLEAT_TOKEN" -d '{}' -w '%{http_code}\n' "http://127.23.0.1:7800/v1/$path"
done
echo "# settings are checked like resources"
cat >"$WORK/settings.json" <<EOF
// a settings file with faults
{ "name": "e 9", "region": "north", "zoned": "north-a",
  "listen": { "callers": "localhost:80", "operators": "127.0.0.1:1", "peers": "127.0.0.1:2" },
  "store": { "url": "https://x" }, "peers": { "heartbeat_ms": 5 }, "operators": {},
  "log": { "format": "xml" } }
EOF
run check-settings -f "$WORK/settings.json"
write_settings 1 north-a north >/dev/null
run check-settings -f "$WORK/e1.json"
run check-settings -f "$WORK/none.json"
head -c 300 /dev/zero | tr '\0' t >"$WORK/token"
sed "s#\"token\": \"demonstration-token\"#\"token_file\": \"$WORK/token\"#" "$WORK/e1.json" >"$WORK/long-token.json"
run check-settings -f "$WORK/long-token.json"
