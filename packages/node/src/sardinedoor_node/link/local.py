"""Channel from a node to itself."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sardinedoor_node import link

if TYPE_CHECKING:
    from sardinedoor_node.link import dispatch
    from sardinedoor_schema import base


class LocalChannel(link.Channel):
    """Calls the node's own receivers in the next event loop iteration."""

    def __init__(self, dispatcher: dispatch.Dispatcher):
        self._dispatcher = dispatcher

    def send(self, message: base.Message) -> bool:
        """See base class."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self._dispatcher.deliver, self, message)
        return True
