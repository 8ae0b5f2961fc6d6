#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. KEEP=1 keeps the folder with the processes' logs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/redwingyard ] && [ -x target/review-2/rig ] || exit 2
exec target/review-2/rig revoked review/6
