#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start; that of review/9 is the earlier
# review's. Needs rustc and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-in review/standin-2/main.rs
rustc --edition 2024 -O -o target/review-2/former-stand-in review/standin/main.rs
