#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into target/.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/standin-2 .
