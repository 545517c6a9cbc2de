#!/bin/sh
# Plays the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. It needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/edgenode ] && [ -x review/bin/standin ] || { echo "run the build of the deploy file and review/build.sh first" >&2; exit 2; }
exec review/bin/standin stalled review/3
