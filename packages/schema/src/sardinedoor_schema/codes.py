"""Result codes of requests; each code has exactly one outcome."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What is known about the execution of a request.

    Attributes:
        ANSWERED: A target ran the request and its response is complete.
        NOT_RUN: No target ran the request, so it is safe to retry.
        UNKNOWN: A target may have run the request, so only an idempotent
            request is safe to retry.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """Result code: 1xxx for answered, 2xxx for not run, 3xxx for unknown."""

    ANSWERED = 1000
    ANSWERED_BEFORE = 1001

    BAD_REQUEST = 2001
    HEADERS_TOO_LARGE = 2002
    BODY_TOO_LARGE = 2003
    AMBIGUOUS_FRAMING = 2004
    TOO_MANY_CONNECTIONS = 2005
    REQUEST_TOO_SLOW = 2006
    BODIES_OVER_LIMIT = 2007
    NO_ROUTE = 2010
    METHOD_NOT_ALLOWED = 2011
    CREDENTIAL_UNKNOWN = 2012
    CREDENTIAL_UNVERIFIED = 2013
    NO_TARGET = 2020
    NODE_STARTING = 2021
    NODE_LEAVING = 2022
    NOT_OWNER = 2023
    QUEUE_FULL = 2024
    DEADLINE_EXPIRED = 2025
    TICKET_LAPSED = 2026
    LINK_DOWN = 2027
    HOLD_TIMEOUT = 2028
    CONNECT_FAILED = 2029
    NOT_HOME = 2030
    QUARANTINED = 2031
    RETRY_BUDGET_SPENT = 2032
    HOME_UNREACHABLE = 2033
    ORGANISATION_OVER_SHARE = 2034
    KEY_REUSED = 2036
    KEY_INVALID = 2037
    WORKER_DRAINED = 2038
    TARGET_LEAVING = 2039
    TARGET_EJECTED = 2040
    TARGET_REFUSED = 2041
    TARGET_REPLACED = 2042
    CALLER_LEFT = 2043
    SETTINGS_UNKNOWN = 2044
    TARGET_LIMITED = 2045
    QUOTA_EXCEEDED = 2046
    CALLED_SERVICE_FULL = 2047
    INTERNAL_ERROR_BEFORE_RUN = 2099

    REPLY_TIMEOUT = 3001
    LINK_LOST = 3002
    TARGET_CONNECTION_LOST = 3003
    REPLY_TRUNCATED = 3004
    KEY_NOT_COVERED = 3005
    TARGET_TIMEOUT = 3006
    ANSWER_NOT_KEPT = 3007
    REPLY_INVALID = 3008
    INTERNAL_ERROR_AFTER_RUN = 3099


_STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.HEADERS_TOO_LARGE: 431,
    Code.BODY_TOO_LARGE: 413,
    Code.AMBIGUOUS_FRAMING: 400,
    Code.REQUEST_TOO_SLOW: 408,
    Code.NO_ROUTE: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.CREDENTIAL_UNKNOWN: 401,
    Code.DEADLINE_EXPIRED: 504,
    Code.ORGANISATION_OVER_SHARE: 429,
    Code.QUOTA_EXCEEDED: 429,
    Code.KEY_REUSED: 422,
    Code.KEY_INVALID: 400,
    Code.REPLY_TIMEOUT: 504,
    Code.TARGET_TIMEOUT: 504,
    Code.LINK_LOST: 502,
    Code.TARGET_CONNECTION_LOST: 502,
    Code.REPLY_TRUNCATED: 502,
    Code.REPLY_INVALID: 502,
    Code.INTERNAL_ERROR_BEFORE_RUN: 500,
    Code.INTERNAL_ERROR_AFTER_RUN: 500,
}


def outcome(code: int) -> Outcome:
    """Returns the outcome that a result code belongs to.

    Args:
        code: A result code; codes of newer versions are accepted.

    Returns:
        The outcome; UNKNOWN for all codes outside 1xxx and 2xxx.
    """
    if 1000 <= code < 2000:
        return Outcome.ANSWERED
    if 2000 <= code < 3000:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def http_status(code: int) -> int:
    """Returns the HTTP status that a caller gets for a failed request.

    Args:
        code: A result code whose outcome is not ANSWERED.

    Returns:
        The status; 503 for codes without a status of their own.
    """
    return _STATUS_BY_CODE.get(code, 503)
