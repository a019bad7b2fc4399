#!/usr/bin/env bash
# Plays the case of claim.txt: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
export TROUBLE=${TROUBLE:-1}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 115 target/review-3/standin-3 empty-step target/bin "$folder" review/11/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
