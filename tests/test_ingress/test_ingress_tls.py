"""Certificates of the public listener."""

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
_NODE = """
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


def _make(days: int = 30) -> keys.Certificate:
    return keys.make_certificate(["127.0.0.1", "localhost"], days, _NOW)


class _Connection:
    """A caller's TLS connection that accepts any certificate."""

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
        own = self.writer.get_extra_info("ssl_object")
        return ssl.DER_cert_to_PEM_cert(own.getpeercert(True))

    async def get(self) -> loopback.Response:
        self.writer.write(_GET)
        return await loopback.read_response(self.reader)


class TlsTest(testtools.TestCase):
    def _context(self, source: tls.Source) -> tls.TlsContext:
        return tls.TlsContext(
            lambda: source, metrics.Metrics(), clock.SystemClock()
        )

    def test_a_new_certificate_cuts_no_connection(self):
        first, second = _make(), _make(60)
        source = tls.Source(first.certificate, first.key)

        async def run() -> None:
            context = self._context(source)
            ingress = loopback.LoopbackIngress(SETTINGS, tls_context=context)
            early = await _Connection().open(ingress.public)
            self.assertEqual(first.certificate, early.certificate)
            self.assertEqual(200, (await early.get()).status)
            source.certificate, source.key = second.certificate, second.key
            self.assertTrue(context.reload())
            late = await _Connection().open(ingress.public)
            self.assertEqual(second.certificate, late.certificate)
            self.assertEqual(200, (await early.get()).status)
            passed = ingress.forwarder.jobs[-1].request.headers
            protocols = [h.value for h in passed if "Proto" in h.name]
            self.assertEqual(["https"], protocols)
            for connection in (early, late):
                connection.writer.close()
            await ingress.close()

        asyncio.run(run())

    def test_a_caller_without_tls_gets_no_answer(self):
        made = _make()
        source = tls.Source(made.certificate, made.key)

        async def run() -> None:
            ingress = loopback.LoopbackIngress(
                SETTINGS, tls_context=self._context(source)
            )
            response = await ingress.send(_GET)
            self.assertEqual(0, response.status)
            inside = await ingress.send(_GET, public=False)
            self.assertEqual(200, inside.status)
            self.assertEqual(1, len(ingress.forwarder.jobs))
            await ingress.close()

        asyncio.run(run())

    def test_a_bad_certificate_changes_nothing(self):
        good, other = _make(), _make()
        source = tls.Source(good.certificate, good.key)
        context = self._context(source)
        before = context.context
        rows = [
            (good.certificate, other.key),
            ("-----BEGIN CERTIFICATE-----\nx", good.key),
            ("/nowhere/cert.pem", good.key),
            (good.certificate, ""),
            (good.certificate * 200, good.key),
        ]
        for certificate, key in rows:
            source.certificate, source.key = certificate, key
            self.assertFalse(context.reload())
            self.assertIs(before, context.context)

    def test_values_may_stand_in_the_settings_file_or_beside_it(self):
        made = _make()
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "c.pem").write_text(made.certificate)
            (folder / "k.pem").write_text(made.key)
            rows = [
                (f" {folder}/c.pem", f" {folder}/k.pem"),
                (
                    keys.as_ini_value(made.certificate),
                    keys.as_ini_value(made.key),
                ),
            ]
            for certificate, key in rows:
                path = folder / "node.ini"
                path.write_text(
                    f"{_NODE}tls_certificate ={certificate}\ntls_key ={key}\n"
                )
                self.assertTrue(nodefile.load(path).is_ok())
                source = tls.file_source(str(path))
                tls.TlsContext(source, metrics.Metrics(), clock.SystemClock())
            path.write_text(f"{_NODE}tls_certificate = c.pem\n")
            (fault,) = nodefile.load(path).unwrap_err()
            self.assertEqual("tls_key", fault.key)

    def test_the_expiry_is_read(self):
        for days in (1, 400, 20_000, 60_000):
            found = certificates.not_after(_make(days).certificate.encode())
            expected = _NOW + datetime.timedelta(days=days)
            self.assertEqual(expected, found)
        whole = _make().certificate
        for text in ("", "x", whole[:200], whole.replace("M", "A", 1)):
            self.assertRaises(ValueError, certificates.not_after, text.encode())
