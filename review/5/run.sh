#!/usr/bin/env bash
# Exit code: 1: the rule was broken, 0: it held, 2: the case could not run.
set -uo pipefail
cd "$(dirname "$0")"
script=../../target/review-2/case-5.mjs
if [ ! -f "$script" ] || [ ! -f ../../target/gentianshift.mjs ]; then
	echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec node "$script" ../.. record.txt
