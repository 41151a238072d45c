#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
[ -x "$top/target/pollenlug" ] && [ -x "$top/target/review-copies" ] || { echo "build first: the build of deploy/system.toml and review/build-3.sh" >&2; exit 2; }
exec timeout -k 5 115 "$top/target/review-copies" gaps "$here" "$top/target/pollenlug"
