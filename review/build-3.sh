#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They need the standard library
# only, so this just compiles them as a check, without leaving files behind.
set -eu
cd "$(dirname "$0")"
python3 -B - standins-3/*.py 1[1-5]/case.py <<'PYTHON'
import pathlib
import sys

for path in sys.argv[1:]:
    compile(pathlib.Path(path).read_bytes(), path, 'exec')
PYTHON
