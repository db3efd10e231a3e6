# An entry that is stopped while callers keep their connections to it.  Guards
# against calls that a planned stop takes and cuts off.
. tests/session/deployment.sh

# send CONNECTION TIMEOUT-MS SERVICE-MS: sends one call on a connection kept open.
send () {
  printf 'GET /jobs/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Timeout-Ms: %s\r\nX-Service-Ms: %s\r\n\r\n' "$2" "$3" >&"$1"
}
# receive CONNECTION: prints the status of the response, its outcome, and whether
# the connection is to be closed.
receive () {
  local line length=0 status=none outcome="" end="" body
  IFS=' ' read -r -t 6 _ status _ <&"$1"
  while IFS= read -r -t 6 line <&"$1" && [ "$line" != $'\r' ]; do
    line=${line%$'\r'}
    case ${line,,} in
      content-length:*) length=${line//[^0-9]/} ;;
      citroncleat-outcome:*) outcome=" ${line#*: }" ;;
      connection:\ close) end=", close" ;;
    esac
  done
  [ "$length" = 0 ] || IFS= read -r -t 6 -N "$length" body <&"$1"
  echo "${status:-none}$outcome$end"
}
sleep_until () { # SECONDS after the signal
  local now=$EPOCHREALTIME
  sleep "$(awk -v t="$signal_at" -v s="$1" -v n="$now" 'BEGIN { w = t + s - n; print (w > 0 ? w : 0) }')"
}
# start_entry_for_stop: e1, which stops within 5 s and keeps idle connections.
start_entry_for_stop () {
  sed -i -e 's/"timeout_s": 30/"timeout_s": 5/' -e 's/"header_timeout_s": 1, "idle_timeout_s": 2/"header_timeout_s": 15, "idle_timeout_s": 60/' \
    "$(write_settings 1 north-a north)"
  start e1 "$BUILD/citroncleat" entry -f "$WORK/e1.json"
}
connect () { # NAME...: opens a connection each, whose number is in that variable
  local c fd
  for c in "$@"; do
    exec {fd}<>/dev/tcp/127.23.0.1/7600
    declare -g "$c=$fd"
    send "$fd" 3000 5
    echo "before the stop: $(receive "$fd")"
  done
}

start_platform
start_upstreams
start_entry_for_stop
start_entry 2 north-b north
wait_for 5 all_serving 2
sed 's/"deadline_ms": 3000/"deadline_ms": 20000/' tests/session/resources.json >"$WORK/resources.json"
client apply -f "$WORK/resources.json" >/dev/null
wait_for 5 config_in_force_everywhere
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.1:7600/

connect soon short long open
send "$open" 15000 14000
sleep 0.3
signal_at=$EPOCHREALTIME
kill -TERM "$(pid_of e1)"
sleep_until 1
send "$soon" 15000 100
echo "soon after the signal: $(receive "$soon")"
sleep_until 3
send "$short" 700 5
echo "late, its deadline before the end of the stop: $(receive "$short")"
send "$long" 15000 12000
echo "late, its deadline after the end of the stop: $(receive "$long")"
echo "in progress at the end of the stop: $(receive "$open")"
wait "$(pid_of e1)"
echo "status $?"
awk -v t="$signal_at" -v n="$EPOCHREALTIME" 'BEGIN { print (n - t < 5.5 ? "in time" : "too late") }'

echo "# a second signal ends the stop at once"
start_entry_for_stop
wait_for 5 all_serving 2
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.1:7600/
connect open
send "$open" 15000 14000
sleep 0.3
kill -TERM "$(pid_of e1)"
sleep 0.3
kill -TERM "$(pid_of e1)"
echo "in progress at the second signal: $(receive "$open")"
wait "$(pid_of e1)"
echo "status $?"
