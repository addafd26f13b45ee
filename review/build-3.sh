#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The project's programs are built by the command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3 ./review/stand3
