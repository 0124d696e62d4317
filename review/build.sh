#!/usr/bin/env bash
# Builds the stand-ins of the cases, after a build of the project, unless they are built already.
set -euo pipefail
cd "$(dirname "$0")/.."
built=target/review/built
if [ -f "$built" ] && [ -z "$(find review/standin target/notchpick.jar -newer "$built" -type f)" ]; then
    exit 0
fi
new=target/review.$$
mkdir -p "$new"
javac -encoding UTF-8 -cp 'target/lib/*' -d "$new" review/standin/review/*.java
touch "$new/built"
rm -rf target/review
mv "$new" target/review
