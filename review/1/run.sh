#!/bin/sh
# Exit status 1: the rule was broken, 0: it held, 2: the case couldn't run.
# TROUBLE=0: the same without the disruption, which the scenario leaves out.
case ${TROUBLE:-1} in
0) TROUBLE=0 ;;
*) TROUBLE=1 ;;
esac
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 5 110 target/review/stage long-prefix "$dir" "$here/record.txt" &
stage=$!
trap 'kill "$stage"; wait "$stage"; exit 2' INT TERM
wait "$stage"
rc=$?
[ $rc -le 2 ] || rc=2
exit $rc
