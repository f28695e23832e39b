#!/usr/bin/env bash
# Builds the stand-in of the scripts in review/6 to review/10. It has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-in review/standin-2/main.rs
