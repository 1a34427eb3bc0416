#!/bin/sh
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-rig ] || exit 2
exec target/review-rig cut-keepers "$here"
