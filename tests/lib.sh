# Functions for scripts that start whole deployments: session tests, the soak,
# the demo and the benches source this file from the root of the tree.
#
# BUILD is the directory of the binaries, WORK a new directory for the script's
# files.  When the script ends, the processes in PIDS are killed and WORK is
# removed.  A script that starts a process without `start' adds its pid to PIDS.

BUILD=${BUILD:-build}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/citroncleat.XXXXXX")
export CITRONCLEAT_TOKEN=demonstration-token
PIDS=""

# start NAME COMMAND...: runs a command in the background, its output in
# $WORK/NAME.log and its pid in $WORK/NAME.pid; returns at once.
start () {
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  echo $! >"$WORK/$name.pid"
  PIDS="$PIDS $!"
}

# pid_of NAME: the pid of the process that was last started under this name.
pid_of () { cat "$WORK/$1.pid"; }

stop_all () {
  [ -z "$PIDS" ] || kill -KILL $PIDS 2>/dev/null
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# wait_for SECONDS COMMAND...: repeats a command until it succeeds; fails if it
# has not within SECONDS.
wait_for () {
  local until=$(($(date +%s) + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$until" ] || return 1
    sleep 0.05
  done
}

# client ARGUMENTS: the command-line client, which talks to the entry that
# CITRONCLEAT_ENTRY names.
client () { "$BUILD/citroncleat" "$@"; }

# all_serving N: whether exactly N entries are in state "serving", as that entry
# sees it.
all_serving () { [ "$(client status | grep -c ' serving ')" = "$1" ]; }

# config_in_force_everywhere: whether every entry has the configuration version of that entry.
config_in_force_everywhere () { client status >"$WORK/status.txt" && ! grep -q '^behind' "$WORK/status.txt"; }
