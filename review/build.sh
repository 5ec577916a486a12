#!/bin/sh
# Builds the stand-ins that the cases start: the project's own store, bundled for Node.
# Run after the build of the deploy file, which installs esbuild and writes `target/`.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild packages/standins/src/leased/metadata-store.ts \
	--bundle --platform=node --target=node20 --format=esm --log-level=warning \
	--outfile=target/review/metadata-store.mjs
for file in review/*.js review/[0-9]/*.js; do
	node --check "$file"
done
