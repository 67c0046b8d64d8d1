#!/usr/bin/env bash
# Plays the case with entry hosts as separate processes, on loopback addresses and the real
# clock. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 it does the same without the trouble.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/standins2 ] && [ -x target/fireflygate-edge ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/standins2 estimates target/fireflygate-edge "$here/record.txt"
