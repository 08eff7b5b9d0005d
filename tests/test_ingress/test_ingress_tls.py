"""Loading and replacement of the public listener's certificate."""

from __future__ import annotations

import asyncio
import datetime
import pathlib
import ssl
import tempfile

import testtools

from sardinedoor_cli import keys
from sardinedoor_node import metrics
from sardinedoor_node.ingress import certificates
from sardinedoor_node.ingress import tls
from sardinedoor_node.settings import nodefile
from sardinedoor_node.util import clock
from sardinedoor_standins import loopback

SETTINGS = """
[team]
name = t
[service permits]
workers = permits-0
[route permits]
service = permits
path = /p
visibility = public
"""
_NODE_SETTINGS = """
[node]
name = n
region = r
failure_domain = f
public = 127.0.0.1:1
internal = 127.0.0.1:2
link = 127.0.0.1:3
admin = 127.0.0.1:4
platform = 127.0.0.1:5
"""
_GET = b"GET /p HTTP/1.1\r\nHost: h\r\n\r\n"
_NOW = datetime.datetime(2026, 1, 2, 3, 4, 5, tzinfo=datetime.UTC)


def _make_certificate(days: int = 30) -> keys.Certificate:
    return keys.make_certificate(["127.0.0.1", "localhost"], days, _NOW)


class _Connection:
    """A caller's TLS connection that doesn't verify the certificate."""

    async def open(self, address: str) -> _Connection:
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port), ssl=context
        )
        return self

    @property
    def certificate(self) -> str:
        ssl_object = self.writer.get_extra_info("ssl_object")
        return ssl.DER_cert_to_PEM_cert(ssl_object.getpeercert(True))

    async def get(self) -> loopback.Response:
        self.writer.write(_GET)
        return await loopback.read_response(self.reader)


class TlsTest(testtools.TestCase):
    def _context(self, settings: tls.CertificateSettings) -> tls.TlsContext:
        return tls.TlsContext(
            lambda: settings, metrics.Metrics(), clock.SystemClock()
        )

    def test_new_certificate_keeps_open_connections(self):
        first, second = _make_certificate(), _make_certificate(60)
        settings = tls.CertificateSettings(first.certificate, first.key)

        async def run() -> None:
            context = self._context(settings)
            ingress = loopback.LoopbackIngress(SETTINGS, tls_context=context)
            before_reload = await _Connection().open(ingress.public)
            self.assertEqual(first.certificate, before_reload.certificate)
            self.assertEqual(200, (await before_reload.get()).status)
            settings.certificate, settings.key = second.certificate, second.key
            self.assertTrue(context.reload())
            after_reload = await _Connection().open(ingress.public)
            self.assertEqual(second.certificate, after_reload.certificate)
            self.assertEqual(200, (await before_reload.get()).status)
            forwarded = ingress.forwarder.jobs[-1].request.headers
            protocols = [h.value for h in forwarded if "Proto" in h.name]
            self.assertEqual(["https"], protocols)
            for connection in (before_reload, after_reload):
                connection.writer.close()
            await ingress.close()

        asyncio.run(run())

    def test_caller_without_tls_gets_no_response(self):
        generated = _make_certificate()
        settings = tls.CertificateSettings(generated.certificate, generated.key)

        async def run() -> None:
            ingress = loopback.LoopbackIngress(
                SETTINGS, tls_context=self._context(settings)
            )
            response = await ingress.send(_GET)
            self.assertEqual(0, response.status)
            internal_response = await ingress.send(_GET, public=False)
            self.assertEqual(200, internal_response.status)
            self.assertEqual(1, len(ingress.forwarder.jobs))
            await ingress.close()

        asyncio.run(run())

    def test_invalid_certificate_is_not_loaded(self):
        good, other = _make_certificate(), _make_certificate()
        settings = tls.CertificateSettings(good.certificate, good.key)
        context = self._context(settings)
        original_context = context.context
        rows = [
            (good.certificate, other.key),
            ("-----BEGIN CERTIFICATE-----\nx", good.key),
            ("/nowhere/cert.pem", good.key),
            (good.certificate, ""),
            (good.certificate * 200, good.key),
        ]
        for certificate, key in rows:
            settings.certificate, settings.key = certificate, key
            self.assertFalse(context.reload())
            self.assertIs(original_context, context.context)

    def test_settings_contain_pem_text_or_paths(self):
        generated = _make_certificate()
        with tempfile.TemporaryDirectory() as folder_name:
            folder = pathlib.Path(folder_name)
            (folder / "c.pem").write_text(generated.certificate)
            (folder / "k.pem").write_text(generated.key)
            rows = [
                (f" {folder}/c.pem", f" {folder}/k.pem"),
                (
                    keys.as_ini_value(generated.certificate),
                    keys.as_ini_value(generated.key),
                ),
            ]
            for certificate, key in rows:
                path = folder / "node.ini"
                path.write_text(
                    f"{_NODE_SETTINGS}tls_certificate ={certificate}\n"
                    f"tls_key ={key}\n"
                )
                self.assertTrue(nodefile.load(path).is_ok())
                read_settings = tls.settings_file_reader(str(path))
                tls.TlsContext(
                    read_settings, metrics.Metrics(), clock.SystemClock()
                )
            path.write_text(f"{_NODE_SETTINGS}tls_certificate = c.pem\n")
            (fault,) = nodefile.load(path).unwrap_err()
            self.assertEqual("tls_key", fault.key)

    def test_expiry_of_certificate(self):
        for days in (1, 400, 20_000, 60_000):
            found = certificates.not_after(
                _make_certificate(days).certificate.encode()
            )
            expected = _NOW + datetime.timedelta(days=days)
            self.assertEqual(expected, found)
        pem = _make_certificate().certificate
        for text in ("", "x", pem[:200], pem.replace("M", "A", 1)):
            self.assertRaises(ValueError, certificates.not_after, text.encode())
