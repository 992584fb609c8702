#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOTOOLCHAIN=local GOFLAGS=-mod=readonly go build -o ../../target/review-2/standin .
