#!/usr/bin/env bash
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec node "$folder/goneTarget.mjs"
