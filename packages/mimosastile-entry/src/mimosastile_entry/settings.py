"""Settings of a daemon: TOML file format, parser and validation."""

import ipaddress
import pathlib
import tomllib
from typing import Annotated

import msgspec
import result

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


_SECRET_PATH = "peers.keys"
"""Values under this path are omitted from error messages."""


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all settings; rejects unknown keys."""


class VmSettings(_Strict, frozen=True):
    """Identity, location and ports of this VM.

    Attributes:
        id: Identifier of the VM in the platform's list of VMs.
        region: Region of the availability zone.
        zone: Availability zone.
        host: IP address to listen on.
        port: Port for callers, 0 for any free one.
        peer_port: Port for peers and operators, 0 for any free one.
    """

    id: Annotated[str, msgspec.Meta(min_length=1)]
    region: Annotated[str, msgspec.Meta(min_length=1)]
    zone: Annotated[str, msgspec.Meta(min_length=1)]
    host: str = "127.0.0.1"
    port: Port = 8080
    peer_port: Port = 8081


class PlatformSettings(_Strict, frozen=True):
    """Addresses of the platform's services.

    Attributes:
        store: Base URL of the key-value service.
        fleet: Base URL of the list of VMs.
        timeout: Time-out of a call in seconds.
    """

    store: Annotated[str, msgspec.Meta(pattern=r"^https?://")]
    fleet: Annotated[str, msgspec.Meta(pattern=r"^https?://")]
    timeout: Annotated[float, msgspec.Meta(gt=0)] = 3.0


class LogSettings(_Strict, frozen=True):
    """Log output of the daemon.

    Attributes:
        level: Minimum severity of messages that are logged.
    """

    level: Annotated[
        str, msgspec.Meta(pattern=r"^(debug|info|warning|error)$")
    ] = "info"


class LimitSettings(_Strict, frozen=True):
    """Limits on requests, and time-outs of a graceful stop.

    Sizes are in bytes and times in seconds.

    Attributes:
        body_bytes: Maximum size of a request body.
        replay_bytes: Maximum size of a request body that is buffered for
            retries.
        header_bytes: Maximum total size of header names and values.
        url_bytes: Maximum length of path and query.
        waiting_head_bytes: Memory of each listener for requests whose heads
            have not arrived whole, or that wait behind another one on their
            connection. At the bound, the one that began first is refused.
        callers_connections: Maximum number of connections of callers, 0 for
            55 in 100 of the descriptors that the process may open. At the
            bound, those that wait for a request give way to new ones.
        peers_connections: The same for peers and operators; 0 for 20 in 100.
        head_seconds: Time-out for receiving the head of a request.
        stall_seconds: Longest time without progress while a body is received
            from or sent to a caller.
        notice_seconds: How long a stopping daemon keeps accepting connections
            while its health check fails, so that the load balancer stops
            sending requests to it.
        shutdown_seconds: Time-out for requests in flight at a stop, counted
            from the end of `notice_seconds`.
    """

    body_bytes: Annotated[int, msgspec.Meta(ge=1)] = 64 << 20
    replay_bytes: Annotated[int, msgspec.Meta(ge=0)] = 64 << 10
    header_bytes: Annotated[int, msgspec.Meta(ge=256)] = 16 << 10
    url_bytes: Annotated[int, msgspec.Meta(ge=64)] = 8 << 10
    waiting_head_bytes: Annotated[int, msgspec.Meta(ge=1)] = 16 << 20
    callers_connections: Annotated[int, msgspec.Meta(ge=0)] = 0
    peers_connections: Annotated[int, msgspec.Meta(ge=0)] = 0
    head_seconds: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    stall_seconds: Annotated[float, msgspec.Meta(gt=0)] = 30.0
    notice_seconds: Annotated[float, msgspec.Meta(ge=0)] = 5.0
    shutdown_seconds: Annotated[float, msgspec.Meta(ge=0)] = 600.0


class AdminSettings(_Strict, frozen=True):
    """Access to the administration API.

    Attributes:
        bootstrap: SHA-256 digest, in hex, of a token with all permissions
            while the configuration declares no operators; empty for none.
    """

    bootstrap: Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{64})?$")] = ""


class ConnectionSettings(_Strict, frozen=True):
    """Time limits of connections to targets and peers, in seconds.

    Attributes:
        connect: Time-out for obtaining a connection, pooled or new.
        first_byte: Time without data before the start of a response after which
            the connection to a target counts as lost.
        between_bytes: Time without data within a response after which the
            response is aborted.
        idle: Longest idle time after which a connection is reused.
        max_age: Age from which a connection is no longer reused.
    """

    connect: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    first_byte: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    between_bytes: Annotated[float, msgspec.Meta(gt=0)] = 15.0
    idle: Annotated[float, msgspec.Meta(gt=0)] = 15.0
    max_age: Annotated[float, msgspec.Meta(gt=0)] = 300.0


KeyName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9-]{1,32}$")]
Secret = Annotated[str, msgspec.Meta(min_length=32)]


class PeerSettings(_Strict, frozen=True):
    """Authentication between entry VMs.

    Attributes:
        keys: Shared secrets by key identifier. Without any, peers are not
            authenticated. During a key rotation there are two.
        sign_with: Identifier of the key with which this VM signs messages.
        window: Maximum age of a message and maximum difference between the
            clocks of two VMs, in seconds.
    """

    keys: dict[KeyName, Secret] = {}
    sign_with: str = ""
    window: Annotated[float, msgspec.Meta(gt=0)] = 10.0

    def __repr__(self) -> str:
        """Returns the key identifiers without the secrets."""
        return f"PeerSettings(keys={sorted(self.keys)})"


class TlsSettings(_Strict, frozen=True):
    """Certificate files of one listener, in PEM format.

    Attributes:
        certificate: Path of the certificate chain.
        key: Path of the private key.
        authority: Path of the CA certificate that verifies the certificates of
            peers; required for peers only.
    """

    certificate: Annotated[str, msgspec.Meta(min_length=1)]
    key: Annotated[str, msgspec.Meta(min_length=1)]
    authority: str = ""


class TlsSection(_Strict, frozen=True):
    """TLS of the listeners; without a section a listener serves plain HTTP.

    Attributes:
        callers: Certificate files of the listener for callers.
        peers: Certificate files of the listener for peers and operators;
            requires `authority`.
        reload_seconds: Interval at which the files are checked for changes.
    """

    callers: TlsSettings | None = None
    peers: TlsSettings | None = None
    reload_seconds: Annotated[float, msgspec.Meta(gt=0)] = 30.0


class Settings(_Strict, frozen=True):
    """All settings of a daemon."""

    vm: VmSettings
    platform: PlatformSettings
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    admin: AdminSettings = AdminSettings()
    connections: ConnectionSettings = ConnectionSettings()
    peers: PeerSettings = PeerSettings()
    tls: TlsSection = TlsSection()


def load(path: pathlib.Path) -> result.Result[Settings, str]:
    """Reads and validates a settings file.

    Args:
        path: The TOML file.

    Returns:
        The settings, or a one-line error message with the file, the key, its
        value and the expected value.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: cannot be read: {error}")
    try:
        raw = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return result.Err(f"{path}: not TOML: {error}")
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        return result.Err(f"{path}: {_format_error(str(error), raw)}")
    message = _find_error(settings)
    if message:
        return result.Err(f"{path}: {message}")
    return result.Ok(settings)


def _find_error(settings: Settings) -> str:
    """Checks rules beyond types; returns the first error or an empty text."""
    peers = settings.peers
    if peers.keys and peers.sign_with not in peers.keys:
        names = ", ".join(sorted(peers.keys))
        return f"peers.sign_with = {peers.sign_with!r}: expected one of {names}"
    if settings.tls.peers and not settings.tls.peers.authority:
        return "tls.peers.authority = '': expected the path of a file"
    try:
        ipaddress.ip_address(settings.vm.host)
    except ValueError:
        return f"vm.host = {settings.vm.host!r}: expected an IP number"
    return ""


def _format_error(message: str, raw: object) -> str:
    """Converts a msgspec error message to "key = value: expectation"."""
    text, _, path = message.partition(" - at `$")
    keys = path.rstrip("`").strip(".")
    if not keys:
        return text
    if keys.startswith(_SECRET_PATH):
        # An invalid secret must not be written to a log or a terminal.
        return f"{_SECRET_PATH}: {text}"
    value: object = raw
    for key in keys.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return f"{keys} = {value!r}: {text}"
