#!/usr/bin/env bash
# Case 6. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 answers the order at once and carries it out.
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=5 110 python3 case.py
