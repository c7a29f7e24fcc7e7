#!/usr/bin/env bash
# Builds what the scripts of the cases start, beside what the build line of deploy/system.toml builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
