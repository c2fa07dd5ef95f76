"""Settings of one daemon, read from a TOML file and checked."""

import ipaddress
import pathlib
import tomllib
from typing import Annotated

import msgspec
import result

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


_SECRET = "peers.keys"
"""Values under this path are never shown."""


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings: unknown keys are mistakes."""


class VmSettings(_Strict, frozen=True):
    """Who this VM is.

    Attributes:
        id: Identifier as the platform lists it.
        region: Region of the availability zone.
        zone: Availability zone.
        host: IP number to listen on.
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
    """Where the platform is.

    Attributes:
        store: Base address of the key-value service.
        fleet: Base address of the list of VMs.
        timeout: Seconds to wait for one call.
    """

    store: Annotated[str, msgspec.Meta(pattern=r"^https?://")]
    fleet: Annotated[str, msgspec.Meta(pattern=r"^https?://")]
    timeout: Annotated[float, msgspec.Meta(gt=0)] = 3.0


class LogSettings(_Strict, frozen=True):
    """How the daemon logs.

    Attributes:
        level: Least severe level that is written.
    """

    level: Annotated[
        str, msgspec.Meta(pattern=r"^(debug|info|warning|error)$")
    ] = "info"


class LimitSettings(_Strict, frozen=True):
    """Bounds on what one caller may send.

    Attributes:
        body_bytes: Largest body.
        replay_bytes: Largest body that is held to be sent again.
        header_bytes: Largest sum of header names and values.
        url_bytes: Longest path with query.
        head_seconds: Longest time for a request's head to arrive.
        stall_seconds: Longest time without any progress of a body, from or
            to a caller.
        notice_seconds: How long a stopping daemon goes on listening with a
            bad health answer, so that the balancer looks away.
        shutdown_seconds: Longest wait for work in flight at a stop, after
            the notice.
    """

    body_bytes: Annotated[int, msgspec.Meta(ge=1)] = 64 << 20
    replay_bytes: Annotated[int, msgspec.Meta(ge=0)] = 64 << 10
    header_bytes: Annotated[int, msgspec.Meta(ge=256)] = 16 << 10
    url_bytes: Annotated[int, msgspec.Meta(ge=64)] = 8 << 10
    head_seconds: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    stall_seconds: Annotated[float, msgspec.Meta(gt=0)] = 30.0
    notice_seconds: Annotated[float, msgspec.Meta(ge=0)] = 5.0
    shutdown_seconds: Annotated[float, msgspec.Meta(ge=0)] = 600.0


class AdminSettings(_Strict, frozen=True):
    """The administration API.

    Attributes:
        bootstrap: SHA-256 digest, in hex, of a token that may do everything
            while the configuration declares no operators; empty for none.
    """

    bootstrap: Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{64})?$")] = ""


class ConnectionSettings(_Strict, frozen=True):
    """How connections to targets and peers are kept, in seconds.

    Attributes:
        connect: Longest wait for a connection, one of the pool or a new one.
        first_byte: Silence before an answer begins after which a target's
            connection is taken for lost.
        between_bytes: Silence within an answer after which it is broken off.
        idle: Longest idle time after which a connection is used again.
        max_age: Age from which a connection is not used again.
    """

    connect: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    first_byte: Annotated[float, msgspec.Meta(gt=0)] = 10.0
    between_bytes: Annotated[float, msgspec.Meta(gt=0)] = 15.0
    idle: Annotated[float, msgspec.Meta(gt=0)] = 15.0
    max_age: Annotated[float, msgspec.Meta(gt=0)] = 300.0


KeyName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9-]{1,32}$")]
Secret = Annotated[str, msgspec.Meta(min_length=32)]


class PeerSettings(_Strict, frozen=True):
    """How entry VMs know each other.

    Attributes:
        keys: Shared secrets by key identifier; without any, peers are not
            authenticated. While keys are rotated there are two.
        sign_with: Identifier of the key that this VM signs with.
        window: Seconds that a message may be old, or two clocks may differ.
    """

    keys: dict[KeyName, Secret] = {}
    sign_with: str = ""
    window: Annotated[float, msgspec.Meta(gt=0)] = 10.0

    def __repr__(self) -> str:
        """Names the keys without their secrets."""
        return f"PeerSettings(keys={sorted(self.keys)})"


class TlsSettings(_Strict, frozen=True):
    """Files of one side, in PEM.

    Attributes:
        certificate: Path of the certificate chain.
        key: Path of its key.
        authority: Path of the authority that peers' certificates are checked
            by; needed on the peers' side only.
    """

    certificate: Annotated[str, msgspec.Meta(min_length=1)]
    key: Annotated[str, msgspec.Meta(min_length=1)]
    authority: str = ""


class TlsSection(_Strict, frozen=True):
    """Which sides use TLS; those that are left out serve in the clear.

    Attributes:
        callers: The callers' side.
        peers: The side of peers and operators; needs an authority.
        reload_seconds: How often the files are looked at for changes.
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
    """Reads and checks a settings file.

    Args:
        path: The TOML file.

    Returns:
        The settings, or one line that names file, key, value and what was
        expected.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(f"{path}: cannot be read: {error}")
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return result.Err(f"{path}: not TOML: {error}")
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        return result.Err(f"{path}: {_with_value(str(error), raw)}")
    problem = _problem(settings)
    if problem:
        return result.Err(f"{path}: {problem}")
    return result.Ok(settings)


def _problem(settings: Settings) -> str:
    """Returns what is wrong across keys, empty if nothing is."""
    peers = settings.peers
    if peers.keys and peers.sign_with not in peers.keys:
        known = ", ".join(sorted(peers.keys))
        return f"peers.sign_with = {peers.sign_with!r}: expected one of {known}"
    if settings.tls.peers and not settings.tls.peers.authority:
        return "tls.peers.authority = '': expected the path of a file"
    try:
        ipaddress.ip_address(settings.vm.host)
    except ValueError:
        return f"vm.host = {settings.vm.host!r}: expected an IP number"
    return ""


def _with_value(message: str, raw: object) -> str:
    """Turns the library's message into "key = value: expectation"."""
    text, _, path = message.partition(" - at `$")
    keys = path.rstrip("`").strip(".")
    if not keys:
        return text
    if keys.startswith(_SECRET):
        # A mistyped secret must not reach a log or a terminal.
        return f"{_SECRET}: {text}"
    value: object = raw
    for key in keys.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return f"{keys} = {value!r}: {text}"
