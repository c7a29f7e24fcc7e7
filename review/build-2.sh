#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin2
