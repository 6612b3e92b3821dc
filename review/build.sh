#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b platform
test -f platform/lib/test/stand-ins/startStoreStandIn.js
test -f platform/lib/test/stand-ins/startTargetStandIn.js
test -f target/rhubarbwheel-platform.cjs
