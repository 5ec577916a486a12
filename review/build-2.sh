#!/usr/bin/env bash
# Builds what the scripts of review/4 and later start: the drivers, with the project's stand-ins bundled into them.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/[4-6]/case.js; do
	[ -f "$script" ] || continue
	number="$(basename "$(dirname "$script")")"
	node_modules/.bin/esbuild "$script" --bundle --platform=node --target=node20 --format=esm \
		--banner:js='import {createRequire} from "node:module"; const require = createRequire(import.meta.url);' \
		--log-level=warning --outfile="target/review-2/case-$number.mjs"
done
