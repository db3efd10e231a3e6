# Functions for scripts that start whole deployments.  Every process started
# is ended by its pid when the script ends.

BUILD=${BUILD:-build}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/citroncleat.XXXXXX")
export CITRONCLEAT_TOKEN=demonstration-token
PIDS=""

# start NAME COMMAND...: runs a command in the background, its output in
# $WORK/NAME.log and its pid in $WORK/NAME.pid.
start () {
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  echo $! >"$WORK/$name.pid"
  PIDS="$PIDS $!"
}

pid_of () { cat "$WORK/$1.pid"; }

stop_all () {
  [ -z "$PIDS" ] || kill -KILL $PIDS 2>/dev/null
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for () {
  local until=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$until" ] || return 1
    sleep 0.05
  done
}

client () { "$BUILD/citroncleat" "$@"; }

# all_alive N: N entries serve, as the first one sees it.
all_alive () { [ "$(client status | grep -c ' serving ')" = "$1" ]; }

# in_force: every entry has the version that the first one has.
in_force () { client status >"$WORK/status.txt" && ! grep -q '^behind' "$WORK/status.txt"; }
