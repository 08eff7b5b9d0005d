"""TLS context of the public listener, with reloading of its certificate."""

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
_PEM_PREFIX = "-----BEGIN "


@dataclasses.dataclass(slots=True)
class CertificateSettings:
    """Settings for the certificate of the public listener.

    Attributes:
        certificate: The certificate chain as PEM text, or the path of a file
            that contains it.
        key: The private key as PEM text, or the path of a file that contains
            it.
    """

    certificate: str
    key: str


@dataclasses.dataclass(slots=True)
class _CertificateAndKey:
    certificate: bytes
    key: bytes


def _load_pem(value: str) -> bytes:
    if _PEM_PREFIX in value:
        return value.encode()
    return pathlib.Path(value).read_bytes()


def _write_to_pipe(data: bytes) -> int:
    """Returns the descriptor of a pipe from which the data can be read."""
    if len(data) > _MAX_PEM_BYTES:
        raise ValueError(f"PEM data of {len(data)} bytes is too large")
    reader, writer = os.pipe()
    os.write(writer, data)
    os.close(writer)
    return reader


def _build_context(loaded: _CertificateAndKey) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["http/1.1"])
    # The ssl module loads a chain only from files, and instances have no disks.
    certificate = _write_to_pipe(loaded.certificate)
    try:
        key = _write_to_pipe(loaded.key)
        try:
            context.load_cert_chain(f"/dev/fd/{certificate}", f"/dev/fd/{key}")
        finally:
            os.close(key)
    finally:
        os.close(certificate)
    return context


def settings_file_reader(path: str) -> Callable[[], CertificateSettings]:
    """Returns a function that reads the settings from a node's file.

    The function raises ValueError if the file has faults.

    Args:
        path: Path of the file.
    """

    def read() -> CertificateSettings:
        loaded = nodefile.load(pathlib.Path(path))
        if loaded.is_err():
            raise ValueError("settings file is invalid")
        node = loaded.unwrap().node
        return CertificateSettings(node.tls_certificate, node.tls_key)

    return read


class TlsContext:
    """Provides the TLS context of new connections.

    Open connections keep the context that they were accepted with.
    """

    def __init__(
        self,
        read_settings: Callable[[], CertificateSettings],
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        """Loads the certificate.

        Args:
            read_settings: Returns the current settings.
            counters: Exports the expiry, counts refused certificates.
            time: The clock.

        Raises:
            OSError: A file can't be read, or the key doesn't match the
                certificate.
            ValueError: The settings or the certificate are invalid.
        """
        self._read_settings = read_settings
        self._metrics = counters
        self._clock = time
        self._loaded = self._load()
        self._context = _build_context(self._loaded)
        self._report_expiry()

    @property
    def context(self) -> ssl.SSLContext:
        """The context for the next connection."""
        return self._context

    def _load(self) -> _CertificateAndKey:
        settings = self._read_settings()
        return _CertificateAndKey(
            _load_pem(settings.certificate), _load_pem(settings.key)
        )

    def _report_expiry(self) -> None:
        expiry = certificates.not_after(self._loaded.certificate)
        self._metrics.certificate_expiry(expiry.timestamp())

    def reload(self) -> bool:
        """Loads the certificate if it has changed; keeps the old if invalid.

        Returns:
            Whether new connections use a changed certificate.
        """
        try:
            loaded = self._load()
            if loaded == self._loaded:
                return False
            context = _build_context(loaded)
            certificates.not_after(loaded.certificate)
        except (OSError, ValueError) as e:
            self._metrics.event("certificate_refused")
            logger.warning("certificate refused", extra={"reason": str(e)})
            return False
        self._loaded = loaded
        self._context = context
        self._report_expiry()
        logger.info("certificate reloaded")
        return True

    async def reload_periodically(self) -> None:
        """Reloads the certificate at regular intervals until cancelled."""
        while True:
            await self._clock.sleep(RELOAD_INTERVAL_S)
            self.reload()
