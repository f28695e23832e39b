#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start. Needs rustc and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/standin review/standin/main.rs
