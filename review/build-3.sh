#!/usr/bin/env bash
# Builds what the scripts of review/7 to review/11 start beside the program itself: the project's own stand-ins, as one module.
# Run after the build of the deploy file; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
npx --no-install esbuild packages/standins/src/leased/index.ts \
	--bundle --platform=node --target=node20 --format=esm \
	--log-level=warning --outfile=target/review-3/stand-ins.mjs
npx --no-install esbuild packages/standins/src/relay.ts \
	--bundle --platform=node --target=node20 --format=esm \
	--log-level=warning --outfile=target/review-3/relay.mjs
