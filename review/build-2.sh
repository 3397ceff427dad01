#!/bin/bash
# Builds the stand-ins of the cases of REPORT-2.md, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in review/stand-ins-2/case_*.rs; do
    rustc --edition 2024 -O -A dead_code -o "target/review-2/$(basename "$program" .rs)" "$program"
done
