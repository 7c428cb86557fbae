#!/bin/bash
# Builds the stand-ins of the cases into review/bin. It needs Go and no network: the module has no dependency.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/standin .
