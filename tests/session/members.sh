# Entries are killed, restarted, added, paused and stopped under load.  Guards
# against two failures: calls at the upstreams exceed the service's cap, because
# an entry uses its share after the others divided the cap without it; or the
# share of an entry that is gone stays unused, because the membership keeps it.
. tests/session/deployment.sh
CAP=7
start_platform
sed "s/\"deadline_ms\": 3000/\"deadline_ms\": 2000, \"call_cap\": $CAP, \"cancel_ms\": 300/" tests/session/resources.json >"$WORK/resources.json"
start upstreams "$BUILD/standin" upstreams -f "$WORK/resources.json" --report $REPORT --service-ms 20 --lag-ms 500
wait_for 5 curl -sf "http://$REPORT/"

set_vm_list () { # N...: the platform's VM list names the entries eN and no others
  local list=""
  for i in "$@"; do list="$list{\"name\":\"e$i\",\"peers\":\"127.23.0.$i:7700\",\"state\":\"live\"},"; done
  curl -s -o /dev/null -X PUT -d "{\"vms\":[${list%,}]}" http://127.23.255.1:7501/v1/vms
}
membership_version () { # N: the version in force at entry eN
  curl -s -H "Authorization: Bearer $CITRONCLEAT_TOKEN" "http://127.23.0.$1:7800/metrics" |
    sed -n 's/^citroncleat_membership_version[^ ]* //p'
}
same_membership () { # N...: whether all have one version, a newer one than $old_version
  local first version
  first=$(membership_version "$1")
  for i in "$@"; do
    version=$(membership_version "$i")
    [ -n "$version" ] && [ "$version" = "$first" ] && [ "$version" -gt "$old_version" ] || return 1
  done
}
max_calls () { # the most calls that the upstreams ran at once
  curl -s "http://$REPORT/" | sed 's/.*"most_of_service":{"shop":\([0-9]*\)}.*/\1/'
}
check_cap () {
  local count
  count=$(max_calls)
  [ "$count" -le $CAP ] && [ "$count" -ge 1 ] && echo "within the cap" || echo "$count calls at once, cap $CAP"
}

membership_confirmed () { ! client status | grep -q '^unconfirmed'; }

set_vm_list 1 2 3 4
start_entries
client apply -f "$WORK/resources.json" >/dev/null
wait_for 5 config_in_force_everywhere
old_version=0
wait_for 5 same_membership 1 2 3 && echo "three members"
loads=""
for i in 1 2 3 4; do
  "$BUILD/standin" load --url http://127.23.0.$i:7600/orders/1 --host shop.example --connections 6 --seconds 24 \
    >"$WORK/load$i" &
  loads="$loads $!"
done
PIDS="$PIDS $loads"
sleep 1
echo "# an entry is killed and restarted at once, five times"
for n in 1 2 3 4 5; do
  kill -KILL "$(pid_of e2)"
  start_entry 2 north-b north
  sleep 0.7
done
wait_for 5 same_membership 1 2 3 && check_cap
echo "# an entry is added"
old_version=$(membership_version 1)
start_entry 4 south-a south
wait_for 5 same_membership 1 2 3 4 && check_cap
wait_for 5 membership_confirmed && echo "all have confirmed the membership, while calls go on"
echo "# an entry is paused, another one restarted meanwhile"
kill -STOP "$(pid_of e3)"
kill -KILL "$(pid_of e4)"
start_entry 4 south-a south
sleep 3
kill -CONT "$(pid_of e3)"
wait_for 5 same_membership 1 2 3 4 && check_cap
echo "# an entry that stops leaves the membership at once"
old_version=$(membership_version 1)
kill -TERM "$(pid_of e4)"
wait "$(pid_of e4)"
wait_for 2 same_membership 1 2 3 && check_cap
echo "# the entry of a lost VM is removed once the platform's VM list no longer names it"
old_version=$(membership_version 1)
kill -KILL "$(pid_of e2)"
sleep 2
[ "$(membership_version 1)" = "$old_version" ] && echo "still a member"
set_vm_list 1 3
wait_for 15 same_membership 1 3 && echo "removed"
wait $loads
check_cap
failed () { sed 's/.*failed=\([0-9]*\).*/\1/' "$WORK/load$1"; }
[ "$(failed 1)" = 0 ] && echo "no call failed at the entry that stayed"
