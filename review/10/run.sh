#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 it leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f target/node/clementinepost.jar ] && [ -d target/review-2 ] || exit 2
timeout -k 5 115 java -Xmx256m -cp target/review-2 reviewkit.LeftBackendCase review/10
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
