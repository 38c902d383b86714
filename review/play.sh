#!/usr/bin/env bash
# Plays a case by its name and writes its record: play.sh CASE RECORD.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
if [ $# -ne 2 ]; then
    echo "usage: play.sh CASE RECORD"
    exit 2
fi
export GATEWAY="$top/target/release/cardamombridge"
stand="$top/target/review/release/review-stand"
if [ ! -x "$GATEWAY" ] || [ ! -x "$stand" ]; then
    echo "build the deploy file and run review/build.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$stand" "$1" "$folder" "$2"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
