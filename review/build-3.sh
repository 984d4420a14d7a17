#!/usr/bin/env bash
# Builds the driver of the third review's scripts, with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review3 ./review/.driver-3
