#!/usr/bin/env bash
# Builds the stand-in of the third review. It needs nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3/main.rs
