#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into an ignored folder.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-harness2 ./review/harness2
