#!/bin/sh
# Builds the stand-in that the cases start: one program that needs nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
