"""Numbered reasons for which settings are refused."""

from __future__ import annotations

import enum


class FaultCode(enum.IntEnum):
    """Settings codes: 5xxx; they never end a request."""

    INVALID = 5001
    TOO_LARGE = 5002
    SERVICE_OF_OTHER_TEAM = 5003
    ROUTE_OF_OTHER_TEAM = 5004
    REMOVES_ALL_WORKERS = 5005
