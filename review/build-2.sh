#!/bin/sh
# Builds the programs of the second review's scripts. The daemon itself is built as
# deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-runner ./review/rig/runner
go build -o target/review-6 ./review/6
go build -o target/review-7 ./review/7
go build -o target/review-8 ./review/8
go build -o target/review-9 ./review/9
go build -o target/review-10 ./review/10
