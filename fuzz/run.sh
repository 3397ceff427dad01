#!/usr/bin/env bash
# Fuzzes a target: fuzz/run.sh TARGET STEPS [SEED]. Exits with another status than 0 if a step panics or hangs; the
# input is then in fuzz/artifacts, and becomes a test case.
set -euo pipefail
cd "$(dirname "$0")"
target=$1 steps=$2 seed=${3:-1}
coverage="-Cpasses=sancov-module -Cllvm-args=-sanitizer-coverage-level=3"
coverage="$coverage -Cllvm-args=-sanitizer-coverage-inline-8bit-counters -Cllvm-args=-sanitizer-coverage-pc-table"
coverage="$coverage -Cllvm-args=-sanitizer-coverage-trace-compares"
host=$(rustc -vV | sed -n 's/^host: //p')
RUSTFLAGS="$coverage -Ccodegen-units=1 --cfg fuzzing" cargo build --release --target "$host" --bin "$target"
mkdir -p "corpus/$target" "seeds/$target" artifacts
"target/$host/release/$target" -runs="$steps" -seed="$seed" -timeout=10 -rss_limit_mb=2048 \
    -artifact_prefix=artifacts/ "corpus/$target" "seeds/$target"
