#!/usr/bin/env bash
# Runs one case: CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
class=$1
folder=$2
cd "$folder/../.." || exit 2
if [ ! -f target/notchpick.jar ] || [ ! -f target/notchpick.jsa ] || [ ! -d target/review-2 ]; then
  echo "run the build of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
fi
# The stand-ins end the controllers and remove their folder when they end themselves, also on a signal.
timeout -k 4 116 java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp 'target/review-2:target/lib/*' \
  "review2.$class" "$folder/record.txt" >/dev/null &
case_pid=$!
trap 'kill "$case_pid" 2>/dev/null; wait "$case_pid"; exit 2' TERM INT HUP
wait "$case_pid"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
