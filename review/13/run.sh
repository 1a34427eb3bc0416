#!/usr/bin/env bash
# Plays the case "keys" of review/rig3. It exits with 1 if the rule was broken, 0 if it held, and 2
# if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/rig3 keys "$folder" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
