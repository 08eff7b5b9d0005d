"""Log lines that tell what became of a caller's request."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sardinedoor_node.ingress import attempt
    from sardinedoor_node.ingress import requestprogress
    from sardinedoor_node.ingress import requests

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class View:
    """What the node knew of the published items when a request ended.

    Attributes:
        version: Version of the configuration in force; 0 for none.
        revision: Revision of the replica.
    """

    version: int
    revision: int


def log_result(
    request: requests.Request,
    request_id: str,
    result: attempt.ForwardResult,
    progress: requestprogress.Progress,
    view: View,
    duration_s: float,
) -> None:
    """Logs the result of a request, and each offer made for it.

    Args:
        request: The request.
        request_id: Its id.
        result: Its result.
        progress: Offers made for it.
        view: What the node knew at its end.
        duration_s: Time since it was read, in s.
    """
    logger.info(
        "request",
        extra={
            "request_id": request_id,
            "route": _route_name(request),
            "organisation": (
                request.organisation.name if request.organisation else ""
            ),
            "version": view.version,
            "revision": view.revision,
            "code": int(result.code),
            "status": result.reply.status if result.reply else 0,
            "took_ms": round(1000 * duration_s),
            "nested": progress.nested,
            "steps": [
                dataclasses.astuple(record) for record in progress.offer_records
            ],
        },
    )


def log_cut(
    request: requests.Request, request_id: str, may_have_started: bool
) -> None:
    """Logs that the node ended before a request did.

    Args:
        request: The request.
        request_id: Its id.
        may_have_started: Whether a worker may have started it.
    """
    logger.warning(
        "request cut",
        extra={
            "request_id": request_id,
            "route": _route_name(request),
            "may_have_started": may_have_started,
        },
    )


def _route_name(request: requests.Request) -> str:
    return request.route.name if request.route else ""
