#!/bin/sh
# Runs one case: run-case.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file, and review/build-2.sh.
set -u
number=$1
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
program=target/review-2/case-$number
if [ -z "$run" ] || [ ! -x target/release/marljunction ] || [ ! -x "$program" ]; then
    echo "not built: run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
CASE_DIR=$(mktemp -d) || exit 2
RUN_COMMAND=$run
export CASE_DIR RUN_COMMAND
driver=
end() {
    for pid in $driver $(cat "$CASE_DIR/pids" 2>/dev/null); do
        kill -KILL "$pid" 2>/dev/null
    done
    [ -n "${KEEP_LOGS:-}" ] && cp -r "$CASE_DIR" "$KEEP_LOGS"
    rm -rf "$CASE_DIR"
}
trap 'end; exit 2' HUP INT TERM
"$program" "review/$number/record.txt" &
driver=$!
wait "$driver"
code=$?
driver=
end
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
