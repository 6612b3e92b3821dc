#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start: the project's own, from platform/test.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npx tsc -b platform
