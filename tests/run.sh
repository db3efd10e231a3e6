#!/bin/bash
# Runs the unit tests, the models and the session tests, or only those named, and ends
# with one line "N passed, N failed"; fails if any failed.  A failing test that
# KNOWN-RED.txt lists is printed and not counted.
#
#   tests/run.sh [--update] [NAME...]
#
# NAME is "unit", "model" or the name of a session test without ".sh".  A session test
# passes if it ends with status 0 and prints exactly its golden file; --update
# overwrites the golden files with what the tests print in this run.
set -u
export BUILD=${BUILD:-build}
passed=0
failed=0
update=
[ "${1:-}" != --update ] || { update=yes; shift; }
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# is_known_red TEST: whether KNOWN-RED.txt lists it.
is_known_red () { [ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt; }

report () { # TEST STATUS: counts and prints a result
  if [ "$2" = 0 ]; then
    passed=$((passed + 1))
    echo "ok      $1"
  elif is_known_red "$1"; then
    echo "known   $1 (KNOWN-RED.txt)"
  else
    failed=$((failed + 1))
    echo "FAILED  $1"
  fi
}

# is_selected NAME [ARGUMENTS OF THE SCRIPT]
is_selected () { [ $# -eq 1 ] || [[ " ${*:2} " == *" $1 "* ]]; }

# run_program NAME LAST_LINE: a program that prints a line for each of its tests.
run_program () {
  local word name
  "$BUILD/$1" >"$out/$1" 2>&1
  cat "$out/$1"
  while read -r word name; do
    case $word in
      PASS) report "$name" 0 ;;
      FAIL) report "$name" 1 ;;
    esac
  done < <(sed -nE "s,^(PASS|FAIL) ($1/)?,\\1 $1/,p" "$out/$1") >"$out/lines"
  # Without its last line the program crashed before all tests had run.
  tail -n 1 "$out/$1" | grep -qx "$2" || report "$1/ended" 1
  grep -v '^ok' "$out/lines"
}

if is_selected unit "$@"; then run_program unit "unit tests ended"; fi
if is_selected model "$@"; then run_program model "models ended"; fi
for script in tests/session/*.sh; do
  name=$(basename "$script" .sh)
  [ "$name" != deployment ] || continue
  is_selected "$name" "$@" || continue
  timeout 120 bash "$script" >"$out/$name" 2>"$out/$name.err"
  status=$?
  golden=tests/session/$name.golden
  [ -z "$update" ] || cp "$out/$name" "$golden"
  if [ $status != 0 ]; then
    echo "$script ended with status $status"
    tail -5 "$out/$name.err"
  fi
  diff -u "$golden" "$out/$name" || status=1
  report "session/$name" $status
done
echo "$passed passed, $failed failed"
[ $failed = 0 ]
