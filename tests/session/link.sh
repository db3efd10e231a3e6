# Guards against traffic between regions that exceeds the link's bytes per second,
# in either direction or summed over the entries of a region, and against a limit
# on traffic within a region.  Region north is drained, so that its entries send
# calls to the south.
. tests/session/deployment.sh
start_platform
sed 's/"bytes_per_second": 100000000/"bytes_per_second": 1500000/; s/"deadline_ms": 3000/"deadline_ms": 20000/' \
  tests/session/resources.json >"$WORK/resources.json"
start_upstreams "$WORK/resources.json"
start_entries
client apply -f "$WORK/resources.json" >/dev/null
client drain region north >/dev/null
wait_for 5 config_in_force_everywhere
sleep 0.2

# timed COMMAND...: runs it and sets MS to the time that it took.
timed () {
  local began=$(date +%s%N)
  "$@"
  MS=$((($(date +%s%N) - began) / 1000000))
}
head -c 900000 /dev/zero >"$WORK/photo"
upload_three () { # three uploads at once, through e1 and e2
  local uploads=""
  for i in 1 2 3; do
    curl -s -m 30 -o "$WORK/up$i" -H 'Expect:' -H 'Host: shop.example' -H "X-Caller-Token: up$i" -X POST \
      --data-binary "@$WORK/photo" http://127.23.0.$((i % 2 + 1)):7600/photos &
    uploads="$uploads $!"
  done
  wait $uploads
}
timed upload_three
whole=0
for i in 1 2 3; do
  grep -q "\"token\":\"up$i\",\"bytes\":900000" "$WORK/up$i" && whole=$((whole + 1))
done
echo "uploads whole: $whole of 3"
[ $MS -ge 1750 ] && echo "2.7 MB over a link of 1.5 MB a second took at least 1.75 s"
[ $MS -le 15000 ] || echo "took $MS ms"
echo "# a response comes back over the same link"
timed curl -s -m 30 -o "$WORK/response" -H 'Host: shop.example' -H 'X-Caller-Token: tok' -H 'X-Answer-Bytes: 1500000' \
  http://127.23.0.1:7600/orders/1
wc -c <"$WORK/response"
[ $MS -ge 900 ] && echo "1.5 MB took at least 0.9 s"
echo "# within a region no limit applies"
client undrain region north >/dev/null
wait_for 5 config_in_force_everywhere
sleep 1
timed curl -s -m 30 -o "$WORK/response" -H 'Host: shop.example' -H 'X-Caller-Token: tok' -H 'X-Answer-Bytes: 1500000' \
  http://127.23.0.1:7600/orders/1
wc -c <"$WORK/response"
