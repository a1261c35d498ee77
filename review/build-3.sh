#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 11 to 15 start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/standin-3
