#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; see claim.txt.
cd "$(dirname "$0")/../.." && exec python3 review/10/case.py
