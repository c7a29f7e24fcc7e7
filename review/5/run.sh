#!/usr/bin/env bash
# Plays the case with the build of the deploy file and of review/build.sh. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. The record is record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantknot ] && [ -x target/review-standin ] || { echo "NOT RUN: build first"; exit 2; }
exec target/review-standin advised review/5/record.txt
