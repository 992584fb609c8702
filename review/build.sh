#!/usr/bin/env bash
# Builds the stand-ins of the scripts; it needs nothing but the Go toolchain's own library.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review-standin ./standin
