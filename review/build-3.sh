#!/bin/sh
# Builds the stand-ins of the cases 11 and following. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-4/main.rs
# Case 13 uses those of the second review.
rustc --edition 2024 -O -o target/review-3/second-review review/standins-3/main.rs
