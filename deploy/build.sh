#!/bin/sh
# Installs the runtime libraries and the project's packages under target/deps
# and compiles them to bytecode.
set -eu
python3 -m pip install -q --upgrade -c constraints.txt \
    --target target/deps -r platform/requirements.txt
for package in packages/schema packages/node platform; do
    cp -R "$package"/src/. target/deps/
done
python3 -m compileall -q target/deps
