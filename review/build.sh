#!/bin/sh
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/cases
