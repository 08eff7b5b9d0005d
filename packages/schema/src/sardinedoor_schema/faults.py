"""Fault codes of settings that are refused."""

from __future__ import annotations

import enum


class FaultCode(enum.IntEnum):
    """Reason for refusing settings; 5xxx, never the result of a request."""

    INVALID = 5001
    TOO_LARGE = 5002
    SERVICE_OF_OTHER_TEAM = 5003
    ROUTE_OF_OTHER_TEAM = 5004
    REMOVES_ALL_WORKERS = 5005
    UNREADABLE = 5006
    SYNTAX = 5007
    UNKNOWN_SECTION = 5008
    UNKNOWN_KEY = 5009
    MISSING = 5010
    BAD_ADDRESS = 5011
    DUPLICATE_ADDRESS = 5012
    ADMIN_NOT_LOOPBACK = 5013
    UNKNOWN_SERVICE = 5014
    WRONG_TEAM = 5015
    FLOOR_ABOVE_WORKERS = 5016
    DUPLICATE_WORKER = 5017
    BAD_NAME = 5018
    DUPLICATE_NAME = 5019
    DUPLICATE_CREDENTIAL = 5020
    BAD_CREDENTIAL = 5021
    BAD_QUOTA = 5022
