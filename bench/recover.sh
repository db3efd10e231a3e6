#!/bin/bash
# Measures what operators and callers notice of failures, with real processes:
# 11 entries, 42 upstreams.  Counts that must be zero and are not make the exit
# status 1.
#
#   RACES=N    concurrent writes of two operators (default 1000)
#   LOST=N     writes whose response from the store is lost (default 1000)
#   CHANGES=N  changes of the configuration (default 100)
set -u
. tests/lib.sh
net=127.20
dir=examples/pryce
report=$net.255.1:7502
store=$net.255.1:7500
races=${RACES:-1000}
lost=${LOST:-1000}
changes=${CHANGES:-100}
failed=0
export CITRONCLEAT_ENTRY=$net.0.2:7800
auth="Authorization: Bearer $CITRONCLEAT_TOKEN"

figure () { # name value unit target
  awk -v n="$1" -v v="$2" -v u="$3" -v t="$4" 'BEGIN {
    printf "figure %s %s %s baseline=- target=<=%s %s\n", n, v, u, t, v <= t ? "ok" : "short" }'
}
must_be_zero () {
  figure "$1" "$2" count 0
  [ "$2" = 0 ] || failed=1
}
# store_mode normal|down|lose
store_mode () { curl -s -o /dev/null -X PUT "http://$store/_control?mode=$1"; }
now_ms () { echo $(($(date +%s%N) / 1000000)); }
seconds () { awk -v ms="$1" 'BEGIN { printf "%.3f", ms / 1000 }'; }
# The 99th percentile of the numbers in FILE.
p99 () { sort -n "$1" | awk '{ a[NR] = $1 } END { print a[NR - int (NR / 100)] }'; }
put () { # ENTRY VERSION CAP: writes region gwent, prints the HTTP status
  curl -s -m 10 -o /dev/null -w '%{http_code}\n' -X PUT -H "$auth" \
    -d "{\"version\":$2,\"spec\":{\"call_cap\":$3}}" "http://$net.0.$1:7800/v1/regions/gwent"
}
region () { curl -s -H "$auth" "http://$net.0.$1:7800/v1/regions/gwent"; }
version_at () { region "$1" | sed 's/.*"version":\([0-9]*\),"spec".*/\1/'; }
cap_at () { region "$1" | sed 's/.*"call_cap":\([0-9]*\).*/\1/'; }

start platform "$BUILD/standin" platform --store $store --vms $net.255.1:7501
start upstreams "$BUILD/standin" upstreams -f "$dir/resources.json" --report $report
entries=""
for i in 1 2 3 4 5 6 7 8 9 10 11; do
  start "e$i" "$BUILD/citroncleat" entry -f "$dir/entries/e$(printf %02d $i).json"
  entries="$entries,$net.0.$i:7600"
done
wait_for 10 all_serving 11 || { echo "bench: the entries did not find each other"; exit 1; }
client apply -f "$dir/resources.json" >/dev/null || exit 1
wait_for 5 config_in_force_everywhere

wait_in_force () { # sets MS, until all entries report the change in force
  local began
  began=$(now_ms)
  until config_in_force_everywhere; do sleep 0.01; done
  MS=$(($(now_ms) - began))
}
for i in $(seq 1 "$changes"); do
  put 2 "$(version_at 2)" $((1000 + i)) >/dev/null
  wait_in_force
  echo $MS
done >"$WORK/force"
figure config_in_force_p99 "$(seconds "$(p99 "$WORK/force")")" s 2
for i in $(seq 1 $((changes / 10))); do
  put 2 "$(version_at 2)" $((2000 + i)) >/dev/null
  store_mode down
  wait_in_force
  store_mode normal
  echo $MS
done >"$WORK/force"
figure config_in_force_store_lost_p99 "$(seconds "$(p99 "$WORK/force")")" s 2

# Two operators write one resource at two entries, based on the same version.
wait_for 5 config_in_force_everywhere
both=0 neither=0
for i in $(seq 1 "$races"); do
  v=$(version_at 2)
  put 2 "$v" $((3000 + 2 * i)) >"$WORK/a" &
  a=$!
  put 5 "$v" $((3001 + 2 * i)) >"$WORK/b"
  wait $a
  case "$(cat "$WORK/a") $(cat "$WORK/b")" in
    "200 200") both=$((both + 1)) ;;
    "200 409" | "409 200") ;;
    *) neither=$((neither + 1)) ;;
  esac
done
echo "# $races races: $neither with neither accepted (one entry was behind)"
must_be_zero races_both_accepted $both

# The store performs writes, but its responses are lost.
wait_for 5 config_in_force_everywhere
wrong=0 pending=0
store_mode lose
for i in $(seq 1 "$lost"); do
  cap=$((10000 + i))
  case $(put 2 "$(version_at 2)" $cap) in
    200) [ "$(cap_at 2)" = $cap ] || wrong=$((wrong + 1)) ;;
    202) pending=$((pending + 1)) ;;
    *) [ "$(cap_at 2)" != $cap ] || wrong=$((wrong + 1)) ;;
  esac
done
store_mode normal
echo "# $lost lost answers: $pending pending"
must_be_zero lost_answers_wrongly_reported $wrong

# The store is down throughout; meanwhile the entry of a replaced VM starts.
store_mode down
"$BUILD/standin" callers --entries "${entries#,}" --plan "$dir/plan.json" --callers 60 --seconds 6 \
  --seed 1 --report $report >"$WORK/callers.txt" 2>&1 &
load=$!
PIDS="$PIDS $load"
sleep 1
sed -e 's/"e11"/"e12"/; s/127\.20\.0\.11:/127.20.0.12:/g' "$dir/entries/e11.json" >"$WORK/e12.json"
began=$(now_ms)
start e12 "$BUILD/citroncleat" entry -f "$WORK/e12.json"
wait_for 10 curl -sf -o /dev/null -H 'Host: orderdesk.example' http://$net.0.12:7600/orders/1
figure replaced_vm_in_service_store_down "$(seconds $(($(now_ms) - began)))" s 5
wait $load || failed=1
echo "# store down: $(tail -1 "$WORK/callers.txt")"
must_be_zero store_down_calls_failed "$(tail -1 "$WORK/callers.txt" | sed 's/.* \([0-9]*\) not-run, \([0-9]*\) unknown/\1+\2/' | bc)"
store_mode normal

# An entry is stopped with 100 slow uploads in progress.
head -c 200000 /dev/zero >"$WORK/photo"
uploads=""
for i in $(seq 1 100); do
  curl -s -m 60 --limit-rate 50k -H 'Expect:' -H 'Host: orderdesk.example' -H "X-Caller-Token: up$i" \
    -X POST --data-binary "@$WORK/photo" "http://$net.0.3:7600/photos" >"$WORK/up$i" &
  uploads="$uploads $!"
done
sleep 1
kill -TERM "$(pid_of e3)"
wait $uploads
cut_uploads=0
for i in $(seq 1 100); do
  grep -q "\"token\":\"up$i\",\"bytes\":200000" "$WORK/up$i" || cut_uploads=$((cut_uploads + 1))
done
must_be_zero stop_uploads_cut $cut_uploads
must_be_zero stop_uploads_half_sent "$(curl -s "http://$report/" | sed 's/.*"half_bodies":\([0-9]*\).*/\1/')"

# An entry is killed while callers follow look-up responses.
"$BUILD/standin" callers --entries "${entries#,}" --plan "$dir/plan.json" --callers 60 --seconds 6 \
  --seed 2 --report $report >"$WORK/callers.txt" 2>&1 &
load=$!
PIDS="$PIDS $load"
sleep 2
kill -KILL "$(pid_of e4)"
wait $load || failed=1
echo "# an entry killed: $(tail -2 "$WORK/callers.txt" | tr '\n' ';')"
failed_attempts=$(sed -n 's/^attempts: [0-9]*, failed \([0-9]*\);.*/\1/p' "$WORK/callers.txt")
figure kill_failed_attempts_a_caller "$(awk -v f="$failed_attempts" 'BEGIN { printf "%.2f", f / 60 }')" attempts 1
exit $failed
