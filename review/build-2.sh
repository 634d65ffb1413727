#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They need only the compiler and its standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/stand_ins_2/*.rs; do
    name=$(basename "$case" .rs)
    [ "$name" = lib ] && continue
    rustc --edition 2024 -O -A dead_code "$case" -o "target/review-2/$name"
done
