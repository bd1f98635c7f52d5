#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python -B review/10/case.py &
child=$!
trap 'kill -TERM "$child"' TERM INT HUP
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    status=$?
done
case $status in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
