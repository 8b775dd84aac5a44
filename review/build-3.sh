#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. It needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -o ../../target/standin3 .
