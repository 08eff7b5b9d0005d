"""Certificate of the public listener, replaced while it serves."""

from __future__ import annotations

import dataclasses
import logging
import os
import pathlib
import ssl
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import certificates
from sardinedoor_node.settings import nodefile

if TYPE_CHECKING:
    from collections.abc import Callable

    from sardinedoor_node import metrics
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

RELOAD_INTERVAL_S = 2.0
_MAX_PEM_BYTES = 60 * 1024
_PEM_MARK = "-----BEGIN "


@dataclasses.dataclass(slots=True)
class Source:
    """Where certificate and key come from.

    Attributes:
        certificate: The chain as PEM text, or the path of a file with it.
        key: The private key, likewise.
    """

    certificate: str
    key: str


@dataclasses.dataclass(slots=True)
class _Pair:
    certificate: bytes
    key: bytes


def _read(value: str) -> bytes:
    if _PEM_MARK in value:
        return value.encode()
    return pathlib.Path(value).read_bytes()


def _pipe(data: bytes) -> int:
    """Returns a descriptor that yields the data once."""
    if len(data) > _MAX_PEM_BYTES:
        raise ValueError(f"PEM of {len(data)} bytes")
    reader, writer = os.pipe()
    os.write(writer, data)
    os.close(writer)
    return reader


def _context(pair: _Pair) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    # The ssl module takes files only, and instances have no disks.
    certificate = _pipe(pair.certificate)
    try:
        key = _pipe(pair.key)
        try:
            context.load_cert_chain(f"/dev/fd/{certificate}", f"/dev/fd/{key}")
        finally:
            os.close(key)
    finally:
        os.close(certificate)
    return context


def file_source(path: str) -> Callable[[], Source]:
    """Returns a source that reads a node's settings file again each time."""

    def read() -> Source:
        loaded = nodefile.load(pathlib.Path(path))
        if loaded.is_err():
            raise ValueError("the settings file has faults")
        node = loaded.unwrap().node
        return Source(node.tls_certificate, node.tls_key)

    return read


class TlsContext:
    """The context for new connections; open ones keep theirs."""

    def __init__(
        self,
        source: Callable[[], Source],
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        """Loads the certificate.

        Args:
            source: Returns the settings as they are now.
            counters: Shows the expiry.
            time: Paces the reloads.

        Raises:
            OSError: A file can't be read, or key and certificate don't fit.
            ValueError: The certificate can't be understood.
        """
        self._source = source
        self._metrics = counters
        self._clock = time
        self._pair = self._read_pair()
        self._context = _context(self._pair)
        self._report()

    @property
    def context(self) -> ssl.SSLContext:
        """The context for the next connection."""
        return self._context

    def _read_pair(self) -> _Pair:
        source = self._source()
        return _Pair(_read(source.certificate), _read(source.key))

    def _report(self) -> None:
        expiry = certificates.not_after(self._pair.certificate)
        self._metrics.certificate_expiry(expiry.timestamp())

    def reload(self) -> bool:
        """Takes a changed certificate; a bad one changes nothing.

        Returns:
            True if new connections use another certificate from now on.
        """
        try:
            pair = self._read_pair()
            if pair == self._pair:
                return False
            context = _context(pair)
            certificates.not_after(pair.certificate)
        except (OSError, ValueError) as e:
            self._metrics.event("certificate_refused")
            logger.warning("certificate refused", extra={"reason": str(e)})
            return False
        self._pair = pair
        self._context = context
        self._report()
        logger.info("certificate reloaded")
        return True

    async def watch(self) -> None:
        """Reloads until cancelled."""
        while True:
            await self._clock.sleep(RELOAD_INTERVAL_S)
            self.reload()
