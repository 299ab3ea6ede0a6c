#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standins-2/main.rs
rustc --edition 2024 -O -o target/review-2/review-3 review/standins-3/main.rs
