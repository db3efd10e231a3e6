# Operators' changes while the store is down, loses a response or returns an older
# state.  Guards against a change that is reported as failed and takes effect or
# the other way round, a configuration that goes back to an older version, and
# entries that need the store to start.
. tests/session/deployment.sh
start_platform
start_upstreams
start_entries
client apply -f tests/session/resources.json >/dev/null
wait_for 5 config_in_force_everywhere

mode () { # MODE: of the stand-in of the store
  echo "# store: $1"
  curl -s -o /dev/null -X PUT "http://$STORE/_control?mode=$1"
}
version () { client status -o json | grep -o '"version":[ 0-9]*' | head -1 | tr -d ' '; }

mode lose
echo "the write takes effect and its response is lost"
run drain upstream shop-1
mode normal
wait_for 5 client get drain upstream.shop-1
run get drain
mode down
run drain upstream shop-2
echo "calls go on"
call GET /orders/1
echo "an entry that starts now gets the configuration from its peers"
start_entry 4 north-a north
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.4:7600/
AT=127.23.0.4:7600 call GET /orders/1
mode normal
run drain upstream shop-2
wait_for 5 config_in_force_everywhere
version_before=$(version)
mode older
wait_for 5 grep -q store-repaired "$WORK/e1.log" "$WORK/e2.log" "$WORK/e3.log"
[ "$(version)" = "$version_before" ] && echo "the version did not decrease"
run undrain upstream shop-2
mode down
kill -KILL "$(pid_of e3)"
start_entry 3 south-a south
export CITRONCLEAT_ENTRY=127.23.0.3:7800
wait_for 5 all_serving 4
wait_for 5 config_in_force_everywhere
run get upstream
