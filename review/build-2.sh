#!/bin/sh
# Builds the programs of the cases 6 to 10 of the second review, with the compiler alone: they use the
# standard library only. Run it from anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    [ -f "review/$case/case.rs" ] || continue
    rustc --edition 2021 -O -A dead_code -o "target/review-2/case-$case" "review/$case/case.rs"
done
