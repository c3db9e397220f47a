#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
