#!/bin/sh
# Runs the case; `review/build.sh` has to run before. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
# Not by exec: the case ends all that it started once this script has ended.
review/bin/case order review/2/record.txt
exit $?
