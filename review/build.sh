#!/bin/sh
# Builds the stand-ins and the cases. They use only the standard library, so nothing is fetched.
set -e
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O -o bin/case stand-ins/main.rs
