#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The project's program is built by the
# build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../bin/standin .
