#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, the project's own included, which are parts of the same program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
