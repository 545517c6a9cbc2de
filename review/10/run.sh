#!/bin/sh
# Plays this case; see claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/standin2 ] && [ -x bin/edgenode ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec bin/standin2 late-body review/10/record.txt
