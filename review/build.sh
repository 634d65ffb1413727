#!/bin/sh
# Builds the stand-ins of all scripts. They need only the compiler and its standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/stand_ins/*.rs; do
    name=$(basename "$case" .rs)
    [ "$name" = lib ] && continue
    rustc --edition 2024 -O -A dead_code "$case" -o "target/review/$name"
done
