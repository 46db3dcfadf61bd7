#!/bin/sh
# Builds the stand-ins of the cases. Needs no network and no package.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
