#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/cases/DiameterCase.class ] || { echo "run review/build.sh first" >&2; exit 2; }
exec java -cp 'target/review:target/lib/*' cases.DiameterCase review/5 failover
