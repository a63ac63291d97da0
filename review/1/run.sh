#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; without TROUBLE, or with 1, it happens.
cd "$(dirname "$0")/../.."
[ -x target/review/case-1 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec timeout -k 2 115 target/review/case-1 review/1
