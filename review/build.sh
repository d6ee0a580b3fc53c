#!/bin/sh
# Builds the stand-ins of the cases, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -A warnings -o "target/review/case-$number" "$case"
done
