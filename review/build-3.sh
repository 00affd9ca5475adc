#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o out/review-3/ ./review/harness3/...
