# tests/soak/judge.awk reports each rule when it is broken, and only then: for
# each rule, events of a short run that keep it and events that break it.  Guards
# against a soak run that passes because its judge misses a fault, or fails
# without one.  The times are in milliseconds.
cd "$(dirname "$0")/../.."
WORK=$(mktemp -d "${TMPDIR:-/tmp}/citroncleat.XXXXXX")
trap 'rm -rf "$WORK"' EXIT
# judge EVENTS: the output of judge.awk for these.  An event is
# "MS WORD ARGUMENTS", as judge.awk lists them; `|' separates them.
judge () {
  tr '|' '\n' <<<"$*" | sed 's/^ *//' | awk 'NF { $1 = 1000000000 + $1 * 1000; print }' | sort -s -n -k 1,1 >"$WORK/all"
  awk -v seed=0 -v faults=0 -f tests/soak/judge.awk "$WORK/all" "$WORK/all"
}
# check NAME EVENTS: shows which rules but "calm" are reported as broken, and how
# often.
check () {
  local name=$1
  shift
  echo "$name: $(judge "$*" | sed -n 's/^  broken \([a-z]*\) .*/\1/p' | grep -v "^calm$" | sort | uniq -c | awk '{ printf "%s x%d ", $2, $1 }')"
}
# check_calm NAME EVENTS: shows the texts of rule "calm".
check_calm () {
  local name=$1
  shift
  echo "$name: $(judge "$*" | sed -n 's/^  broken calm .*: \(.*\)/\1/p')"
}
start="0 started e1 | 0 try config 1 desk | 1 ack config 1 desk"
# Events of one request ID; the arguments after it have defaults.
ask () { # MS ID [METHOD PATH]
  echo "$1 sent $2 10.0.1.1:80 ${3:-POST} ${4:-/jobs/1} 0 h"
}
run () { # MS ID [WORKER SERVICE METHOD PATH]
  echo "$1 run $2 ${3:-w1-2} ${4:-desk} north-a ${5:-POST} ${6:-/jobs/1} 0 h"
}
got () { # MS ID [STATUS WORKER WHOLE]
  echo "$1 got $2 ${3:-200} ${4:-w1-2} ${5:-whole}"
}
served () { # MS ID: a request that runs once and gets its response
  echo "$(ask "$1" "$2") | $(run "$(($1 + 1))" "$2") | $(got "$(($1 + 30))" "$2")"
}
many () { # COUNT FUNCTION: the events that FUNCTION prints for 1 to COUNT
  local i
  for i in $(seq "$1"); do echo "$($2 "$i") |"; done
}

check "served" "$start | $(served 9000 a)"
check "an unsafe request runs twice" "$start | $(served 9000 a) | $(run 9050 a w2-2)"
check "a safe request runs twice" "$start | $(ask 9000 a GET /look/1) | $(run 9001 a w1-2 desk GET /look/1) | $(run 9400 a w2-2 desk GET /look/1) | $(got 9500 a)"
check "refused, and it ran" "$start | $(ask 9000 a) | $(run 9001 a) | $(got 9100 a 503 -)"
check "refused, and it runs later" "$start | $(ask 9000 a) | $(got 9100 a 503 -) | $(run 9200 a)"
check "outcome unknown, and it ran" "$start | $(ask 9000 a) | $(run 9001 a) | $(got 9100 a 502 -)"
check "half a response" "$start | $(ask 9000 a) | $(run 9001 a) | $(got 9100 a 200 w1-2 other)"
check "a response of an upstream that did not run the request" "$start | $(ask 9000 a) | $(run 9001 a) | $(got 9100 a 200 w2-2)"
check "a request that nobody sent runs" "$start | $(run 9001 a)"
check "a request runs with another path" "$start | $(ask 9000 a) | $(run 9001 a w1-2 desk POST /jobs/2)"
check "runs within the limit after the upstream's leaving notice" "$start | 9000 leaving w1-2 | $(served 11000 a)"
check "runs too late after the upstream's leaving notice" "$start | 9000 leaving w1-2 | $(served 12000 a)"
check "runs too late after the notice, the entry was disturbed" "$start | 9000 leaving w1-2 | 9100 disturbed e1 pause | 9200 undisturbed e1 | $(served 12000 a)"
check "runs too late after the notice, the store was disturbed" "$start | 9000 leaving w1-2 | 9100 disturbed store busy | 9200 undisturbed store | $(served 12000 a)"
check "runs in an evacuated zone" "$start | 9000 ack evacuate north-a | $(served 13000 a) | $(served 14500 b) | 15000 restore north-a | $(served 16000 c)"
moved () { echo "$(ask "$1" "$2" POST /move/1) | $(run "$(($1 + 1))" "$2" w1-2 "$3" POST /move/1) | $(got "$(($1 + 30))" "$2")"; }
check "runs at the old service within the limit, at the new one after it" "$start | 9000 try config 2 shed | 9001 ack config 2 shed | $(moved 11000 a desk) | $(moved 12000 b shed)"
check "runs at the old service after the limit" "$start | 9000 try config 2 shed | 9001 ack config 2 shed | $(moved 12000 a desk)"
check "runs at a service that never had the route" "$start | $(ask 9000 a) | $(run 9001 a w3-2 shed)"
check "a valid request is denied" "$start | $(ask 9000 a) | $(got 9010 a 404 -)"
check "a planned stop" "$start | 9000 term e1 | 12000 exited e1 0 | 12100 started e1"
check "a planned stop that takes too long" "$start | 9000 term e1 | 16000 exited e1 0"
check "a planned stop with status 1" "$start | 9000 term e1 | 12000 exited e1 1"
check "an entry crashes" "$start | 9000 exited e1 139"
check "an entry ends by a fault's SIGKILL" "$start | 9000 disturbed e1 kill | 9001 exited e1 137 | 9500 started e1 | 9501 undisturbed e1"
check "a request is cut at a planned stop" "$start | 9000 term e1 | $(ask 9100 a) | $(run 9101 a) | 9130 got a 0 - other | 12000 exited e1 0"
check "a request is cut by a kill" "$start | $(ask 8900 a) | $(run 8901 a) | 9000 disturbed e1 kill | 9001 exited e1 137 | 9001 got a 0 - other | 9500 started e1 | 9501 undisturbed e1"
cut () { echo "$(ask $((9000 + $1)) "c$1") | $(run $((9001 + $1)) "c$1") | $((9030 + $1)) got c$1 0 - other"; }
check "requests are cut without a disturbance" "$start | $(many 4 cut)"
slow () { echo "$(ask $((9000 + $1)) "s$1") | $(run $((9001 + $1)) "s$1") | $((11500 + $1)) got s$1 504 - other"; }
check "responses after the timeout" "$start | $(many 8 slow)"
leaver () { echo "$(ask $((9000 + $1)) "l$1") | $(run $((9001 + $1)) "l$1") | $((9100 + $1)) left l$1 | $((9900 + $1)) end l$1 w1-2"; }
check "requests run on after their callers left" "$start | $(many 8 leaver)"
retried () { echo "$(ask $((9000 + $1)) "r$1" GET /look/1) | $((9001 + $1)) refused r$1 w1-2 desk 503 | $(run $((9002 + $1)) "r$1" w2-2 desk GET /look/1) | $(got $((9030 + $1)) "r$1" 200 w2-2)"; }
check "retries within the budget" "$start | $(many 20 retried)"
check "retries beyond the budget" "$start | $(many 30 retried)"
sent_to_three () { echo "$(ask $((9000 + $1)) "t$1" GET /look/1) | $((9001 + $1)) refused t$1 w1-2 desk 503 | $((9002 + $1)) refused t$1 w2-2 desk 503 | $((9003 + $1)) refused t$1 w3-2 desk 503"; }
check "requests go to too many upstreams" "$start | $(many 4 sent_to_three)"
named () { echo "$((20000 + $1)) named 10.0.1.1:80"; }
check "an entry that has ended is named" "$start | 9000 disturbed e1 kill | 9001 exited e1 137 | $(many 4 named)"
# The calm phase at the end.
calm_call () { served $((20100 + 10 * $1)) "q$1.0"; }
check_calm "calm phase, every call served" "$start | 20000 calm begins | $(many 60 calm_call) | 25000 calm ends"
check_calm "calm phase with too few requests" "$start | 20000 calm begins | $(served 21000 a.0) | 25000 calm ends"
check_calm "calm phase, one call refused" "$start | 20000 calm begins | $(many 60 calm_call) | $(ask 21000 a.0) | $(got 21010 a.0 503 -) | 25000 calm ends"
check_calm "calm phase, one call refused and served on retry" "$start | 20000 calm begins | $(many 60 calm_call) | $(ask 21000 a.0) | $(got 21010 a.0 503 -) | $(served 21200 a.1) | 25000 calm ends"
