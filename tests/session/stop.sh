# Guards against calls that a planned stop of an entry cuts off, new calls to an
# upstream that leaves, and calls that go on at their upstream after their caller
# has closed the connection.
. tests/session/deployment.sh
start_platform
start_upstreams
start_entries
client apply -f tests/session/resources.json >/dev/null
wait_for 5 config_in_force_everywhere
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.1:7600/

head -c 300000 /dev/zero >"$WORK/photo"
uploads=""
for i in $(seq 1 12); do
  curl -s -m 20 --limit-rate 100k -H 'Expect:' -H 'Host: shop.example' -H "X-Caller-Token: up$i" \
    -X POST --data-binary "@$WORK/photo" "http://127.23.0.1:7600/photos" >"$WORK/up$i" &
  uploads="$uploads $!"
done
sleep 0.5
kill -TERM "$(pid_of e1)"
sleep 0.3
echo "> lookup at another entry"
curl -s "http://127.23.0.2:7600/.well-known/citroncleat/lookup?service=shop&region=north&caller=a"
echo
echo "# a caller that cached an earlier look-up is still served"
call GET /orders/1
wait $uploads
complete=0
for i in $(seq 1 12); do
  grep -q "\"token\":\"up$i\",\"bytes\":300000" "$WORK/up$i" && complete=$((complete + 1))
done
echo "uploads whole: $complete of 12"
wait "$(pid_of e1)"
echo "entry exit $?"
curl -s "http://$REPORT/" | grep -o '"half_bodies":[0-9]*'
export CITRONCLEAT_ENTRY=127.23.0.2:7800
echo "# an upstream that reports that it leaves gets no new calls"
curl -s -o /dev/null -X PUT "http://$REPORT/?upstream=shop-1&leaving=1"
sleep 1
served () { curl -s "http://$REPORT/" | sed 's/.*"shop-1":{"served":\([0-9]*\).*/\1/'; }
before=$(served)
for i in $(seq 1 60); do
  curl -s -o /dev/null -H 'Host: shop.example' http://127.23.0.2:7600/orders/$i
done
echo "new calls there: $(($(served) - before))"
echo "# a call whose caller closes the connection is cancelled at its upstream"
cancelled () { # how many calls upstreams saw cancelled
  curl -s "http://$REPORT/" | grep -o '"cancelled":[0-9]*' | awk -F: '{ n += $2 } END { print n }'
}
before=$(cancelled)
curl -s -m 0.4 -o /dev/null -H 'Host: shop.example' -H 'X-Service-Ms: 2500' http://127.23.0.2:7600/orders/1
sleep 1
echo "calls cancelled: $(($(cancelled) - before))"
