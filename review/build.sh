#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin"
cargo build --release --locked --offline --target-dir ../../target/review
