#!/bin/sh
# Builds the stand-ins of review/6 to review/10, without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/fleet review/standin-2/main.rs
