# Entries are killed, restarted, added, paused and stopped under load; the
# service's cap is never exceeded, and a dead entry's part comes back.
. tests/session/deployment.sh
CAP=7
start_platform
sed "s/\"deadline_ms\": 3000/\"deadline_ms\": 2000, \"call_cap\": $CAP, \"cancel_ms\": 300/" tests/session/resources.json >"$WORK/resources.json"
start upstreams "$BUILD/standin" upstreams -f "$WORK/resources.json" --report $REPORT --service-ms 20 --lag-ms 500
wait_for 5 curl -sf "http://$REPORT/"

vms () { # N...: the platform's list names the entries eN
  local list=""
  for i in "$@"; do list="$list{\"name\":\"e$i\",\"peers\":\"127.23.0.$i:7700\",\"state\":\"live\"},"; done
  curl -s -o /dev/null -X PUT -d "{\"vms\":[${list%,}]}" http://127.23.255.1:7501/v1/vms
}
membership () { # N: version in force at entry eN
  curl -s -H "Authorization: Bearer $CITRONCLEAT_TOKEN" "http://127.23.0.$1:7800/metrics" |
    sed -n 's/^citroncleat_membership_version[^ ]* //p'
}
same_membership () { # N...: all have one version above $least
  local first version
  first=$(membership "$1")
  for i in "$@"; do
    version=$(membership "$i")
    [ -n "$version" ] && [ "$version" = "$first" ] && [ "$version" -gt "$least" ] || return 1
  done
}
use () { curl -s "http://$REPORT/" | sed 's/.*"most_of_service":{"shop":\([0-9]*\)}.*/\1/'; }
in_cap () {
  local most
  most=$(use)
  [ "$most" -le $CAP ] && [ "$most" -ge 1 ] && echo "within the cap" || echo "$most calls at once, cap $CAP"
}

confirmed () { ! client status | grep -q '^unconfirmed'; }

vms 1 2 3 4
start_entries
client apply -f "$WORK/resources.json" >/dev/null
wait_for 5 in_force
least=0
wait_for 5 same_membership 1 2 3 && echo "three members"
loads=""
for i in 1 2 3 4; do
  "$BUILD/standin" load --url http://127.23.0.$i:7600/orders/1 --host shop.example --connections 6 --seconds 24 \
    >"$WORK/load$i" &
  loads="$loads $!"
done
PIDS="$PIDS $loads"
sleep 1
echo "# killed and restarted at once, five times"
for n in 1 2 3 4 5; do
  kill -KILL "$(pid_of e2)"
  start_entry 2 north-b north
  sleep 0.7
done
wait_for 5 same_membership 1 2 3 && in_cap
echo "# one added"
least=$(membership 1)
start_entry 4 south-a south
wait_for 5 same_membership 1 2 3 4 && in_cap
wait_for 5 confirmed && echo "all have confirmed it, while calls go on"
echo "# one paused, another restarted meanwhile"
kill -STOP "$(pid_of e3)"
kill -KILL "$(pid_of e4)"
start_entry 4 south-a south
sleep 3
kill -CONT "$(pid_of e3)"
wait_for 5 same_membership 1 2 3 4 && in_cap
echo "# a planned stop leaves at once"
least=$(membership 1)
kill -TERM "$(pid_of e4)"
wait "$(pid_of e4)"
wait_for 2 same_membership 1 2 3 && in_cap
echo "# a lost VM leaves once the platform's list names it no more"
least=$(membership 1)
kill -KILL "$(pid_of e2)"
sleep 2
[ "$(membership 1)" = "$least" ] && echo "still a member"
vms 1 3
wait_for 15 same_membership 1 3 && echo "gone"
wait $loads
in_cap
failed () { sed 's/.*failed=\([0-9]*\).*/\1/' "$WORK/load$1"; }
[ "$(failed 1)" = 0 ] && echo "no call failed at the entry that stayed"
