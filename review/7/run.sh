#!/bin/sh
# Plays the case and writes record.txt. TROUBLE=0 leaves the disturbance out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/kingcupbayd ] && [ -x target/review-2/case-7 ] || exit 2
CASE_DIR=$(mktemp -d) || exit 2
RECORD=review/7/record.txt
export CASE_DIR RECORD
target/review-2/case-7
status=$?
[ -n "$KEEP" ] && echo "logs in $CASE_DIR" || rm -rf "$CASE_DIR"
[ $status -le 1 ] && exit $status
exit 2
