#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file. They use the standard library only.
cd "$(dirname "$0")/standins" && exec cargo build --release --locked --offline
