#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
command -v python3 >/dev/null || exit 2
cd "$(dirname "$0")" && exec python3 -B play.py
