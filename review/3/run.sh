#!/bin/sh
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Ended by SIGTERM, it ends what it started.
cd "$(dirname "$0")" || exit 2
python=../../.venv/bin/python
[ -x "$python" ] || { echo "no .venv: run the build of the deploy file first"; exit 2; }
rm -f record.txt
"$python" -B case.py &
child=$!
trap 'kill -TERM $child 2>/dev/null' TERM INT HUP
wait $child
status=$?
trap - TERM INT HUP
wait $child 2>/dev/null
if [ $status -eq 0 ] && grep -q "case: the rule held" record.txt; then exit 0; fi
if [ $status -eq 1 ] && grep -q "case: the rule was broken" record.txt; then exit 1; fi
exit 2
