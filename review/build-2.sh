#!/bin/sh
# Prepares the scripts of the second review. Their stand-ins need only Python's
# standard library; the nodes run from target/, which deploy/build.sh fills.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/sardinedoor_platform || {
    echo "run deploy/build.sh first" >&2
    exit 1
}
python3 -m compileall -q review/6/standins
for case in review/*/case.py; do
    python3 -m py_compile "$case"
done
