#!/bin/sh
# Builds the stand-ins of the cases: one program that starts the store, the workers, the
# clients and the daemons of a case. It needs no network once the deploy file's build
# has run.
set -eu
cd "$(dirname "$0")/.."
exec go build -o out/review/harness ./review/harness
