"""Starts a node from the packages that the build put under target/deps."""

from __future__ import annotations

import sys

from sardinedoor_platform import main

if __name__ == "__main__":
    sys.exit(main.run())
