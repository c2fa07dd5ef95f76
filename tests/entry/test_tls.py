"""Tests of the TLS settings, with generated certificates."""

import asyncio
import datetime
import ipaddress
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
import pytest
import rig

from mimosastile_core import fleet
from mimosastile_core import messages
from mimosastile_entry import _auth
from mimosastile_entry import _client
from mimosastile_entry import _clock
from mimosastile_entry import _peers_http
from mimosastile_entry import _tls
from mimosastile_entry import kernel
from mimosastile_entry import serving
from mimosastile_entry import settings

START = datetime.datetime(2020, 1, 1)
END = datetime.datetime(2100, 1, 1)


def _write(directory, name):
    """Writes a self-signed certificate and returns its settings."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    address = x509.IPAddress(ipaddress.ip_address(rig.HOST))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(START)
        .not_valid_after(END)
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    paths = directory / "cert.pem", directory / "key.pem"
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return settings.TlsSettings(str(paths[0]), str(paths[1]), str(paths[0]))


async def _ok(scope, receive, send):
    reply = messages.encode(messages.Ack("e1"))
    headers = [(b"content-length", b"%d" % len(reply))]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": reply})


async def _served_name(port):
    """Returns the common name of a server's certificate."""
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    _, writer = await asyncio.open_connection(rig.HOST, port, ssl=context)
    found = writer.get_extra_info("ssl_object").getpeercert(True)
    writer.close()
    named = x509.load_der_x509_certificate(found).subject
    return named.get_attributes_for_oid(x509.NameOID.COMMON_NAME)[0].value


class TestReload:
    """A certificate is replaced before it expires, while the daemon runs.

    A restart would disconnect callers. Without a reload, their connections
    would fail once the certificate has expired.
    """

    def test_new_connections_get_the_new_certificate(self, tmp_path):
        """A certificate that does not match its key yet is not loaded."""

        async def scenario():
            files = _write(tmp_path, "first")
            service = _tls.TlsService(settings.TlsSection(callers=files))
            await service.start(None)
            listener = await serving.listen(
                _ok, rig.HOST, 0, 1.0, tls=service.server("callers")
            )
            served = [await _served_name(listener.port)]
            key = (tmp_path / "key.pem").read_bytes()
            _write(tmp_path, "second")
            new_key = (tmp_path / "key.pem").read_bytes()
            (tmp_path / "key.pem").write_bytes(key)
            service.reload()
            served.append(await _served_name(listener.port))
            (tmp_path / "key.pem").write_bytes(new_key)
            service.reload()
            served.append(await _served_name(listener.port))
            listener.abort()
            await listener.stop()
            await service.stop()
            return served, service.dump()

        served, dump = asyncio.run(scenario())
        assert served == ["first", "first", "second"]
        assert dump == {"sides": ["callers"]}

    def test_missing_file_fails_the_start(self, tmp_path):
        """Serving in plain text instead would expose confidential data."""
        files = settings.TlsSettings(str(tmp_path / "a"), str(tmp_path / "b"))
        service = _tls.TlsService(settings.TlsSection(callers=files))
        with pytest.raises(OSError, match="No such file"):
            asyncio.run(service.start(None))


class TestPeers:
    """Entry VMs use TLS between each other if configured."""

    @pytest.mark.parametrize("trusted", [True, False])
    def test_only_trusted_certificates_are_accepted(self, tmp_path, trusted):
        """An untrusted certificate is refused before anything is sent."""

        async def scenario():
            (tmp_path / "other").mkdir()
            theirs = _tls.Side(_write(tmp_path, "e1"))
            files = _write(tmp_path / "other", "stranger")
            if trusted:
                files = settings.TlsSettings(
                    files.certificate, files.key, str(tmp_path / "cert.pem")
                )
            listener = await serving.listen(
                _ok, rig.HOST, 0, 1.0, tls=theirs.server
            )
            made = kernel.Kernel()
            peers = _peers_http.HttpPeers(_auth.Signer("e0", {}, "", 10.0))
            for service in (
                _clock.LoopClock(),
                _tls.TlsService(settings.TlsSection(peers=files)),
                _client.HttpClient(),
                peers,
            ):
                made.register(service)
            await made.start()
            vm = fleet.Vm(
                "e1", fleet.Role.ENTRY, "r", "z", rig.HOST, listener.port
            )
            sent = await peers.call(vm, messages.Ack("e0"), 5.0)
            await made.stop()
            listener.abort()
            await listener.stop()
            return sent

        sent = asyncio.run(scenario())
        if trusted:
            assert sent.ok() == messages.Ack("e1")
        else:
            assert sent.err().response.ran.value == "no"

    def test_peers_side_needs_an_authority(self, tmp_path):
        """Without it, peers could not be authenticated."""
        path = tmp_path / "settings.toml"
        path.write_text(
            '[vm]\nid="e"\nregion="r"\nzone="z"\n[platform]\n'
            'store="http://1"\nfleet="http://1"\n'
            '[tls.peers]\ncertificate="a"\nkey="b"\n'
        )
        assert "tls.peers.authority" in settings.load(path).unwrap_err()
