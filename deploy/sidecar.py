"""Starts a node with the packages that deploy/build.sh installs."""

from __future__ import annotations

import sys

from sardinedoor_platform import main

if __name__ == "__main__":
    sys.exit(main.run())
