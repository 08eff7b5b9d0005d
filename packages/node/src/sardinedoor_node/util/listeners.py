"""Callbacks of which each is called, even if another one fails."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import TYPE_CHECKING
from typing import Generic
from typing import ParamSpec

if TYPE_CHECKING:
    from sardinedoor_node import metrics

logger = logging.getLogger(__name__)

_Args = ParamSpec("_Args")


class ListenerGroup(Generic[_Args]):
    """The listeners to one kind of event, called in the order of addition.

    A listener that raises doesn't keep the others from being called, nor end
    the task in which the event occurs.
    """

    def __init__(self, event: str, counters: metrics.Metrics | None = None):
        """Creates a group without listeners.

        Args:
            event: Name of the event, for the log.
            counters: Counts the failures as `listener_failed`.
        """
        self._event = event
        self._metrics = counters
        self._listeners: list[Callable[_Args, object]] = []

    def add(self, listener: Callable[_Args, object]) -> None:
        """Adds a listener."""
        self._listeners.append(listener)

    def notify(self, *args: _Args.args, **kwargs: _Args.kwargs) -> None:
        """Calls all listeners."""
        for listener in self._listeners:
            try:
                listener(*args, **kwargs)
            except Exception:
                if self._metrics is not None:
                    self._metrics.event("listener_failed")
                logger.exception(
                    "listener failed",
                    extra={"event": self._event, "listener": _name(listener)},
                )


def _name(listener: Callable[..., object]) -> str:
    name = getattr(listener, "__qualname__", repr(listener))
    return f"{getattr(listener, '__module__', None) or ''}.{name}".lstrip(".")
