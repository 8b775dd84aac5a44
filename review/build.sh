#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../../target/review-standin .
