# The command that follows a request, an upstream or a configuration's version over
# the logs of several entries, on committed lines: one is no JSON, one is cut, one
# names no entry, and a request has the id of an upstream.
. tests/lib.sh

cd tests/session/trace || exit 1
trace () { "$program" trace "$@" 2>&1; echo "status $?"; }
case $BUILD in /*) program=$BUILD/citroncleat ;; *) program=../../../$BUILD/citroncleat ;; esac

echo "# a request"
trace --id r-5 one.log two.log
echo "# an upstream"
trace --upstream i-1 one.log two.log
echo "# a request with the id of an upstream"
trace --id i-1 one.log two.log
echo "# a version"
trace --version 7 one.log two.log
echo "# nothing, no file, no choice, two"
trace --id r-9 one.log two.log
trace --version 8 three.log two.log
trace one.log
trace --id r-5 --version 7 one.log
