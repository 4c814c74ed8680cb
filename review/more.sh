#!/bin/sh
# Runs one of the further checks of the report, which are no cases: second-attempt, limit, exclusion, left-list.
# `review/build.sh` has to run before. TROUBLE=0 leaves the disruption out. Exits as the cases do.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/more
# Not by exec: the check ends all that it started once this script has ended.
review/bin/case "$1" "review/more/$1-record.txt"
exit $?
