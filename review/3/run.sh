#!/bin/bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec timeout --kill-after=5 115 python3 case.py
