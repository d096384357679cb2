#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review/cases ] && [ -x target/zinniapaddle ] || { echo "build first: see review/REPORT.md" >&2; exit 2; }
exec target/review/cases two-models "$here"
