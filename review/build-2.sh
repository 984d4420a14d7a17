#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the build of the deploy file:
# the stand-ins and the checks of the cases. Run it from anywhere.
set -eu
cd "$(dirname "$0")/.driver-2"
mkdir -p ../../target
go build -o ../../target/review2-case .
