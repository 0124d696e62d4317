#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 4 to 8 start, after the build of deploy/service.toml. The stand-ins use
# the JDK and the JSON library of the service's own build; no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/notchpick.jar ] && [ -d target/lib ] || { echo "run the build of deploy/service.toml first" >&2; exit 2; }
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -cp 'target/lib/*' -d target/review-2 review/standin-2/*.java
