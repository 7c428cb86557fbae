#!/bin/bash
# Builds the stand-ins of the second review's cases, 6 to 10: one program, bin/review-2. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
CGO_ENABLED=0 GOFLAGS=-mod=readonly go build -o ../../bin/review-2 .
