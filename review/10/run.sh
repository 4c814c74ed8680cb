#!/bin/sh
# Runs this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
exec "$(dirname "$0")/../stand-ins-2/run-case.sh" 10
