#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Run it in the repository, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/stand2 ./review/stand2
