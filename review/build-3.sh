#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, with the compiler alone. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/standin-3/main.rs -o target/review/standin-3
