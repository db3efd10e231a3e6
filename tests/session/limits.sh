# Guards against malformed, incomplete and too large requests that occupy an entry
# or disturb a call in progress there: they get an error or a closed connection
# within the timeouts.
. tests/session/deployment.sh
start_platform
start_upstreams
start_entries
client apply -f tests/session/resources.json >/dev/null
wait_for 5 config_in_force_everywhere
wait_for 5 curl -sf -o /dev/null -H 'Host: shop.example' http://127.23.0.1:7600/

# raw IP PORT TEXT: sends bytes and prints the first line of the response, or how
# the connection ended.
raw () {
  exec 3<>"/dev/tcp/$1/$2"
  printf "$3" >&3
  local line=
  if IFS= read -r -t 8 line <&3; then
    echo "$line" | tr -d '\r'
  elif [ $? -gt 128 ]; then
    echo "no answer in 8 s"
  else
    echo "closed"
  fi
  exec 3>&-
}
curl -s -m 10 -o "$WORK/other" -H 'Host: shop.example' -H 'X-Caller-Token: other' -H 'X-Service-Ms: 2500' \
  http://127.23.0.1:7600/orders/1 &
other=$!
echo "# malformed requests"
raw 127.23.0.1 7600 'NONSENSE\r\n\r\n'
raw 127.23.0.1 7600 'GET / HTTP/1.1\r\n\r\n'
raw 127.23.0.1 7600 'GET http://shop.example/ HTTP/1.1\r\nHost: shop.example\r\n\r\n'
raw 127.23.0.1 7600 'POST / HTTP/1.1\r\nHost: shop.example\r\nContent-Length: -5\r\n\r\n'
echo "# a request head over the limit"
raw 127.23.0.1 7600 "GET / HTTP/1.1\r\nHost: shop.example\r\nX-Large: $(head -c 70000 /dev/zero | tr '\0' x)\r\n\r\n"
echo "# a request head that never ends"
raw 127.23.0.1 7600 'GET / HTTP/1.1\r\nHost: shop'
raw 127.23.0.1 7800 'GET / HTTP/1.1\r\nHost: shop'
echo "# a body that never ends"
raw 127.23.0.1 7600 'POST /jobs HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 9\r\n\r\nabc'
echo "# an HTTP request on the peers' port"
raw 127.23.0.1 7700 'GET / HTTP/1.1\r\nHost: x\r\nX-Padding: 0123456789012345678901234567890123456789\r\n\r\n'
echo "# a resource body over the limit"
head -c 70000 /dev/zero | tr '\0' ' ' >"$WORK/large"
curl -s -m 5 -X PUT -H "Authorization: Bearer $CITRONCLEAT_TOKEN" -H 'Expect:' --data-binary "@$WORK/large" \
  http://127.23.0.1:7800/v1/regions/x
echo
curl -s -m 5 http://127.23.0.1:7800/metrics
echo
wait $other
echo "# the call in progress meanwhile"
cat "$WORK/other" | normalise
echo
wait_for 3 all_serving 3 && echo "all entries alive"
