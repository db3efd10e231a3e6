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
check "a planned stop ends by an abort, beside a disturbance" "$start | 9000 term e1 | 9100 disturbed e1 pause | 10000 undisturbed e1 | 10500 exited e1 134"
check "a planned stop ends late after a pause" "$start | 9000 term e1 | 14000 disturbed e1 pause | 16000 undisturbed e1 | 16100 exited e1 0"
check "a planned stop begins late after a pause" "$start | 8000 disturbed e1 pause | 9000 term e1 | 10000 undisturbed e1 | 16400 exited e1 0"
check "a planned stop takes too long after a pause" "$start | 8000 disturbed e1 pause | 9000 term e1 | 10000 undisturbed e1 | 16600 exited e1 0"
check "a planned stop takes too long after another disturbance" "$start | 8000 disturbed e1 delay | 9000 term e1 | 10000 undisturbed e1 | 16400 exited e1 0"
check "a planned stop that has to be ended by SIGKILL" "$start | 9000 term e1 | 17000 disturbed e1 kill | 17001 exited e1 137 | 17002 undisturbed e1"
check "a fault's SIGKILL during a planned stop" "$start | 9000 term e1 | 10000 disturbed e1 kill | 10001 exited e1 137 | 10002 undisturbed e1"
check "an entry crashes during a pause" "$start | 9000 disturbed e1 pause | 9100 exited e1 139 | 9200 undisturbed e1"
check "an entry crashes" "$start | 9000 exited e1 139"
check "an entry ends by a fault's SIGKILL" "$start | 9000 disturbed e1 kill | 9001 exited e1 137 | 9500 started e1 | 9501 undisturbed e1"
named () { echo "$((20000 + $1)) named 10.0.1.1:80"; }
# The process of e1 that has pid 1, and the one after it.
check "a planned stop, noted after the start of the next process" "${start/e1/e1 1} | 9000 term e1 | 12000 started e1 2 | 12100 exited e1 0 1 | $(many 4 named)"
check "a planned stop that takes too long, noted after the start of the next process" "${start/e1/e1 1} | 9000 term e1 | 15400 started e1 2 | 15600 exited e1 0 1"
check "a fault's SIGKILL, noted after the start of the next process" "${start/e1/e1 1} | 9000 disturbed e1 kill | 9100 started e1 2 | 9101 undisturbed e1 | 9200 exited e1 137 1 | $(many 4 named)"
check "a fault's SIGKILL, noted after the start of the next process, which crashes by SIGKILL" "${start/e1/e1 1} | 9000 disturbed e1 kill | 9100 started e1 2 | 9101 undisturbed e1 | 9200 exited e1 137 1 | 9300 exited e1 137 2"
check "the next process crashes before the end of the stopped one is noted" "${start/e1/e1 1} | 9000 term e1 | 12000 started e1 2 | 12100 exited e1 139 2 | 12200 exited e1 0 1"
check "the next process has ended and is named" "${start/e1/e1 1} | 9000 term e1 | 12000 started e1 2 | 12100 exited e1 0 1 | 12200 disturbed e1 kill | 12201 exited e1 137 2 | 12300 undisturbed e1 | $(many 4 named)"
check "a request is cut at a planned stop" "$start | 9000 term e1 | $(ask 9100 a) | $(run 9101 a) | 9130 got a 0 - other | 12000 exited e1 0"
# A planned stop of e1 from 9000 to 14700 ms.  A request with 9 s of time, sent at
# MS on route /slow/, is at work at w1-2.
stopping="$start | 9000 term e1 | 14700 exited e1 0"
at_work () { # MS ID
  echo "$1 sent $2 10.0.1.1:80 POST /slow/1 0 h 9000 | $(run "$(($1 + 1))" "$2" w1-2 desk POST /slow/1)"
}
cut_at () { # MS ID: its connection ends, and the work too
  echo "$1 got $2 0 - other | $1 end $2 w1-2 cut"
}
replaced_at () { # MS ID: the entry breaks it off and answers itself
  echo "$1 got $2 502 - other | $1 end $2 w1-2 cut"
}
check "in a stop, a late request is served" "$stopping | $(served 14100 a)"
check "in a stop, a late request is cut" "$stopping | $(at_work 14100 a) | $(cut_at 14700 a)"
check "in a stop, a late request is broken off and answered" "$stopping | $(at_work 14100 a) | $(replaced_at 14690 a)"
check "in a stop, a late request is refused" "$stopping | $(ask 14100 a) | $(got 14101 a 503 -)"
check "in a stop, a late request that did not run is cut at once" "$stopping | $(ask 14550 a) | 14700 got a 0 - other"
check "in a stop, a late request that did not run is cut later" "$stopping | $(ask 14450 a) | 14700 got a 0 - other"
check "in a stop, a request at work is cut in the last sixth" "$stopping | $(at_work 8900 a) | $(cut_at 14700 a)"
check "in a stop, a request at work is cut before the last sixth" "$stopping | $(at_work 8900 a) | $(cut_at 13900 a)"
check "in a stop, a request sent in the first 3 s is cut in the last sixth" "$stopping | $(at_work 11900 a) | $(cut_at 14700 a)"
check "in a stop, a request sent after 3 s is cut in the last sixth" "$stopping | $(at_work 12100 a) | $(cut_at 14700 a)"
check "in a stop, a request at work is broken off and answered in the last sixth" "$stopping | $(at_work 8900 a) | $(replaced_at 14690 a)"
check "in a stop, a request at work is broken off and answered earlier" "$stopping | $(at_work 8900 a) | $(replaced_at 13900 a)"
check "in a stop, the work ends early and the response is cut" "$stopping | $(at_work 8900 a) | 13900 end a w1-2 | 14700 got a 0 - other"
check "in a stop, the upstream fails and the entry answers" "$stopping | $(at_work 8900 a) | 10000 end a w1-2 | 10001 got a 502 - other"
check "in a stop, the deadline is reached" "$stopping | 9100 sent a 10.0.1.1:80 POST /jobs/1 0 h 1000 | $(run 9101 a) | 10050 got a 0 - other"
check "in a stop, the timeout of the route is reached" "$stopping | $(ask 9100 a) | $(run 9101 a) | 10600 got a 504 - other"
check "in a stop, the timeout of the route is not reached" "$stopping | $(ask 9100 a) | $(run 9101 a) | 10500 got a 504 - other"
check "in a stop, the upstream ends" "$stopping | $(at_work 8900 a) | 10000 gone w1-2 | 10001 got a 502 - other"
check "in a stop, the upstream is disturbed" "$stopping | 9500 disturbed w1 pause | $(at_work 9600 a) | $(cut_at 10000 a)"
check "in a stop, the entry is disturbed" "$stopping | 9500 disturbed e1 pause | 9600 undisturbed e1 | $(at_work 9700 a) | $(cut_at 10000 a)"
check "in a stop, only the store is disturbed" "$stopping | 9500 disturbed store busy | $(at_work 9600 a) | $(cut_at 10000 a)"
check "after a reload, a request is cut" "$start | 9000 hup e1 | $(at_work 11000 a) | $(cut_at 12000 a)"
check "long after a reload, a request is cut" "$start | 9000 hup e1 | $(at_work 12000 a) | $(cut_at 12100 a)"
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
check "an entry that has ended is named" "$start | 9000 disturbed e1 kill | 9001 exited e1 137 | $(many 4 named)"
# An upstream says that it leaves, in the response to request n, sent at 9000 ms.
told="$start | $(ask 9000 n) | $(run 9001 n) | 9020 said n w1-2 | $(got 9030 n)"
check "sent within the limit after the upstream said that it leaves" "$told | $(served 11500 a)"
check "sent too late after the upstream said that it leaves" "$told | $(served 11600 a)"
check "sent too late after that, and refused there" "$told | $(ask 11600 a) | 11601 refused a w1-2 desk 503"
check "sent too late after that, to another incarnation at its address" "$told | $(ask 11600 a) | 11601 refused a w1-2 desk 421"
check "sent within the limit, arrives later" "$told | $(ask 11500 a) | $(run 12500 a) | $(got 12530 a)"
check "sent too late after that, the store and the path to it were disturbed" "$told | 9100 disturbed store busy | 9200 undisturbed store | 9300 disturbed e1 silent | 9400 undisturbed e1 | $(served 11600 a)"
check "sent too late after that, the entry was paused" "$told | 9100 disturbed e1 pause | 9200 undisturbed e1 | $(served 11600 a)"
check "sent too late after that, the entry was paused before" "$start | 8000 disturbed e1 pause | 8100 undisturbed e1 | ${told#*| * | * | } | $(served 11600 a)"
check "sent too late after that, the entry restarted" "$told | 9100 disturbed e1 kill | 9101 exited e1 137 | 9200 started e1 | 9201 undisturbed e1 | $(served 11600 a)"
check "sent too late after that, the entry was told again after its restart" "$told | 9100 disturbed e1 kill | 9101 exited e1 137 | 9200 started e1 | 9201 undisturbed e1 | $(ask 10000 m) | $(run 10001 m) | 10020 said m w1-2 | $(got 10030 m) | $(served 12600 a)"
check "sent late to the upstream's next incarnation" "$told | $(ask 11600 a) | $(run 11601 a w1-3) | $(got 11630 a 200 w1-3)"
# The process of w1-2 that gave the notice ends, and the next one starts under its id.
born () { echo "$1 born w1-2 desk north-a"; }
told_by_first="$(born 1000) | $told"
reborn="9100 disturbed w1 kill | $(born 9200) | 9201 undisturbed w1"
check "sent too late after the notice of a process that has not started again" "$told_by_first | $(served 11600 a)"
check "sent too late after the notice, to the next process of the id" "$told_by_first | $reborn | $(served 11600 a)"
check "sent too late after the notice, refused by the next process of the id" "$told_by_first | $reborn | $(ask 11600 a) | 11601 refused a w1-2 desk 503"
check "sent too late after the notice, which the entry got when the next process had started" "$(born 1000) | $start | $(ask 9000 n) | $(run 9001 n) | 9020 said n w1-2 | $reborn | $(got 9300 n) | $(served 11900 a)"
check "sent too late after the notice, before the next process starts" "$told_by_first | $(served 11600 a) | $(born 11700)"
check "sent too late after the next process's own notice" "$told_by_first | $reborn | $(ask 10000 m) | $(run 10001 m) | 10020 said m w1-2 | $(got 10030 m) | $(served 12600 a)"
check "sent within the limit after the next process's own notice" "$told_by_first | $reborn | $(ask 10000 m) | $(run 10001 m) | 10020 said m w1-2 | $(got 10030 m) | $(served 12500 a)"
drained="$start | $(born 1000) | 9000 leaving w1-2"
check "runs too late after the leaving notice in the record of a process that has not started again" "$drained | $(served 12000 a)"
check "runs too late after that, at the next process of the id" "$drained | $(born 9300) | $(served 12000 a)"
check "runs too late after that, before the next process leaves too" "$drained | $(served 12000 a) | $(born 12500) | 13000 leaving w1-2"
check "runs too late after the next process's own leaving notice" "$drained | $(born 9300) | 10000 leaving w1-2 | $(served 13000 a)"
check "runs within the limit after the next process's own leaving notice" "$drained | $(born 9300) | 10000 leaving w1-2 | $(served 12000 a)"
check "the notice was not passed on" "$start | $(ask 9000 n) | 9001 refused n w1-2 desk 503 | 9001 said n w1-2 | $(run 9003 n w2-2) | $(got 9030 n 200 w2-2) | $(served 11600 a)"
# An upstream refuses request n at 9001 ms and wants no more for 3 s.
away="$start | $(ask 9000 n) | 9001 refused n w1-2 desk 503 3.000 | $(got 9002 n 503 -)"
check "requests in the first half second after a refusal for 3 s" "$away | $(served 9100 a) | $(served 9200 b) | $(served 9500 c)"
check "two requests within the time" "$away | $(served 9600 a) | $(served 11900 b)"
check "three requests within the time" "$away | $(served 9600 a) | $(served 9700 b) | $(served 11900 c)"
check "three requests within the time, two are refused again" "$away | $(ask 9600 a) | 9601 refused a w1-2 desk 503 2.400 | $(ask 9700 b) | 9701 refused b w1-2 desk 503 2.300 | $(served 11000 c)"
check "requests after the time" "$away | $(served 12100 a) | $(served 12200 b) | $(served 12300 c)"
check "three requests, by another entry" "$away | $(served 9600 a) | $(served 9700 b) | 11800 sent c 10.0.1.2:80 POST /jobs/1 0 h | $(run 11801 c) | $(got 11830 c)"
check "three requests after a refusal without a time" "$start | $(ask 9000 n) | 9001 refused n w1-2 desk 503 | $(got 9002 n 503 -) | $(served 9600 a) | $(served 9700 b) | $(served 11900 c)"
check "three requests within the time, the entry was cut off" "$away | $(served 9600 a) | $(served 9700 b) | 9800 disturbed e1 silent | 9900 undisturbed e1 | $(served 11900 c)"
check "three requests within the time, the entry was paused" "$away | $(served 9600 a) | $(served 9700 b) | 9800 disturbed e1 pause | 9900 undisturbed e1 | $(served 11900 c)"
check "three requests within the time, the entry restarted" "$away | $(served 9600 a) | $(served 9700 b) | 9800 disturbed e1 kill | 9801 exited e1 137 | 9900 started e1 | 9901 undisturbed e1 | $(served 11900 c)"
check "three requests within the time, only the store was disturbed" "$away | $(served 9600 a) | $(served 9700 b) | 9800 disturbed store silent | 9900 undisturbed store | $(served 11900 c)"
check "three requests within the time, the entry was cut off before" "$start | 8000 disturbed e1 silent | 8900 undisturbed e1 | ${away#*| * | } | $(served 9600 a) | $(served 9700 b) | $(served 11900 c)"
check "three requests within the time, the path to the upstream was cut at the refusal" "$start | 8000 disturbed w1 back | ${away#*| * | } | 9100 undisturbed w1 | $(served 9600 a) | $(served 9700 b) | $(served 11900 c)"
check "three requests within the time, the path to the upstream was cut later" "$away | 9100 disturbed w1 back | 9200 undisturbed w1 | $(served 9600 a) | $(served 9700 b) | $(served 11900 c)"
check "three requests within the time, the upstream was paused at the refusal" "$start | 8000 disturbed w1 pause | ${away#*| * | } | 9100 undisturbed w1 | $(served 9600 a) | $(served 9700 b) | $(served 11900 c)"
# An upstream is cold from 9000 to 12000 ms.
cold="$start | 9000 cold w1-2 3000"
rush () { served $((9100 + 40 * $1)) "k$1"; } # 25 a second
calm_rush () { served $((9100 + 50 * $1)) "k$1"; } # 20 a second
early_rush () { served $((8000 + 40 * $1)) "k$1"; }
late_rush () { served $((11990 + 40 * $1)) "k$1"; }
refused_rush () { echo "$(ask $((9100 + 40 * $1)) "k$1") | $((9101 + 40 * $1)) refused k$1 w1-2 desk 429"; }
misdirected_rush () { echo "$(ask $((9100 + 40 * $1)) "k$1") | $((9101 + 40 * $1)) refused k$1 w1-2 desk 421"; }
check "requests to a cold upstream, as many as it may get" "$cold | $(many 40 calm_rush)"
check "one more" "$cold | $(many 40 calm_rush) | $(served 9520 a)"
check "more than a cold upstream may get" "$cold | $(many 40 rush)"
check "more than that, refused by it" "$cold | $(many 40 refused_rush)"
check "more than that, for the process that was there before" "$cold | $(many 40 misdirected_rush)"
check "more than that, before it started again" "$cold | $(many 25 early_rush)"
check "more than that, after its cold time" "$cold | $(many 40 late_rush)"
check "more than that, after each of two starts" "$cold | 10700 cold w1-2 3000 | $(many 90 rush)"
check "more than that, the store was disturbed" "$cold | 8500 disturbed store silent | 10000 undisturbed store | $(many 40 rush)"
check "more than that, the entry was cut off from the store" "$cold | 8500 disturbed e1 silent | 10000 undisturbed e1 | $(many 40 rush)"
check "more than that, the entry restarted" "$cold | 8500 disturbed e1 kill | 8501 exited e1 137 | 8900 started e1 | 8901 undisturbed e1 | $(many 40 rush)"
check "more than that, the entry restarted long before" "$cold | 4000 disturbed e1 kill | 4001 exited e1 137 | 4500 started e1 | 4501 undisturbed e1 | $(many 40 rush)"
check "more than that, the upstream was killed before" "$cold | 8000 disturbed w1 kill | 8990 undisturbed w1 | $(many 40 rush)"
check "more than that, the path to it was disturbed" "$cold | 9010 disturbed w1 delay | 9400 undisturbed w1 | $(many 40 rush)"
# The calm phase at the end.
calm_call () { served $((20100 + 10 * $1)) "q$1.0"; }
check_calm "calm phase, every call served" "$start | 20000 calm begins | $(many 60 calm_call) | 25000 calm ends"
check_calm "calm phase with too few requests" "$start | 20000 calm begins | $(served 21000 a.0) | 25000 calm ends"
check_calm "calm phase, one call refused" "$start | 20000 calm begins | $(many 60 calm_call) | $(ask 21000 a.0) | $(got 21010 a.0 503 -) | 25000 calm ends"
check_calm "calm phase, one call refused and served on retry" "$start | 20000 calm begins | $(many 60 calm_call) | $(ask 21000 a.0) | $(got 21010 a.0 503 -) | $(served 21200 a.1) | 25000 calm ends"
check_calm "calm phase, one call refused before its end and sent again after it" "$start | 20000 calm begins | $(many 60 calm_call) | $(ask 24800 a.0) | $(got 24850 a.0 503 -) | 25000 calm ends | $(served 25050 a.1)"
check_calm "calm phase, one call refused before its end and not sent again" "$start | 20000 calm begins | $(many 60 calm_call) | $(ask 24800 a.0) | $(got 24850 a.0 503 -) | 25000 calm ends | $(served 25050 b.0)"
