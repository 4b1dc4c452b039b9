#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
[ -d ../../target/deps ] || exit 2
PYTHONPATH=../standins PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
