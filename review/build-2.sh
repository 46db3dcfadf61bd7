#!/bin/sh
# Builds the stand-ins and the cases of the second review. They use the standard library only.
set -e
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
