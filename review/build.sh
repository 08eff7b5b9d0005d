#!/bin/sh
# Builds what the scripts start: the stand-ins are Python modules of their own.
set -eu
cd "$(dirname "$0")/1"
python3 -m compileall -q standins
