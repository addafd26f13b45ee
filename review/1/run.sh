#!/usr/bin/env bash
# Plays the case with the built program and stand-ins. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/basilkeel ] && [ -x target/review-stand ] || exit 2
exec target/review-stand --record review/1/record.txt ledger
