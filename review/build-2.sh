#!/bin/sh
# Builds the stand-ins and the cases of the second review. Those in stand-ins-2 use the standard
# library only. The project's fault scenario runner comes with the build of the deploy file.
set -e
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
cd ../..
if [ ! -x target/release/madderpoint-fault-test ]; then
    cargo build --release --locked --offline --package madderpoint-test-harness
fi
