"""The configuration document that operators keep in the store.

One schema for everything operators decide. Decoding checks types and bounds;
`problems` checks what spans several fields.
"""

from collections.abc import Iterator
import enum
from typing import Annotated

import msgspec
import result

from mimosastile_core import grants

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Priority(enum.Enum):
    """Class of a request, from most to least urgent."""

    INTERACTIVE = "interactive"
    SUBMISSION = "submission"
    BULK = "bulk"


class KeyPlace(enum.Enum):
    """Part of a request that carries the key."""

    PATH = "path"
    HEADER = "header"
    QUERY = "query"


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all configuration structures: unknown fields are mistakes."""


class KeySource(_Strict, frozen=True):
    """Where a service finds the key in a request.

    Attributes:
        place: Part of the request.
        name: Name of the header or query parameter.
        segment: For paths, the segment after the service's name, from 0.
    """

    place: KeyPlace
    name: str = ""
    segment: Annotated[int, msgspec.Meta(ge=0)] = 0


class Route(_Strict, frozen=True):
    """How requests under a path prefix are treated.

    Attributes:
        prefix: Path prefix after the service's name, beginning with a slash.
        methods: HTTP methods; empty for all.
        priority: Class of these requests.
        idempotent: Whether running one twice does no harm; None takes it from
            the method (GET, HEAD and OPTIONS are).
    """

    prefix: Annotated[str, msgspec.Meta(pattern=r"^/")] = "/"
    methods: tuple[str, ...] = ()
    priority: Priority = Priority.INTERACTIVE
    idempotent: bool | None = None


class Placement(_Strict, frozen=True):
    """How a service weighs uneven load, moved keys and waiting.

    Attributes:
        imbalance: Weight of uneven load.
        churn: Weight of keys that change their owner.
        unavailable: Weight of the time that keys wait while they move.
        begin_above: Excess of the fullest target over its fair load at which
            moves begin.
        end_below: Excess at which they end.
        split_above: Load of a slice, in fair loads of a target, above which
            it is split.
        slices_at_most: Bound on the service's slices.
        moves_in_flight: Bound on slices that move at a time.
        ramp: Seconds until a new target carries a full share.
        idle_below: Share of a target's slots in use below which load is left
            as it is; too little runs to tell it from chance.
    """

    imbalance: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    churn: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    unavailable: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    begin_above: Annotated[float, msgspec.Meta(ge=0)] = 0.12
    end_below: Annotated[float, msgspec.Meta(ge=0)] = 0.06
    split_above: Annotated[float, msgspec.Meta(gt=0)] = 0.1
    slices_at_most: Positive = 2048
    moves_in_flight: Positive = 16
    ramp: Annotated[float, msgspec.Meta(ge=0)] = 30.0
    idle_below: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class Retry(_Strict, frozen=True):
    """When the router sends a request of a service again.

    Attributes:
        budget: Retries allowed per request, over many requests.
        burst: Retries allowed at once after a quiet time.
        attempts: Most times that one idempotent request is sent.
        backoff: Seconds before the first retry; doubles, with jitter.
        owner_wait: Longest wait, in seconds, for a target that may run the
            request; after that it is refused as not run.
    """

    budget: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    burst: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    attempts: Positive = 3
    backoff: Annotated[float, msgspec.Meta(gt=0)] = 0.01
    owner_wait: Annotated[float, msgspec.Meta(ge=0)] = 2.0


class Queue(_Strict, frozen=True):
    """The queue for the slots of each target of a service.

    Attributes:
        wait: Longest wait in seconds; whoever would wait longer is refused
            at once.
        length: Most requests that wait for one target.
        bulk_slots: Slots of one target that bulk requests may hold; 0 for
            half of them.
    """

    wait: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    length: Positive = 512
    bulk_slots: Annotated[int, msgspec.Meta(ge=0)] = 0


class Service(_Strict, frozen=True):
    """One service behind the router.

    Attributes:
        key: Where the key is; None for a service not divided by key.
        slots: Requests that one target runs at a time.
        connections: Connections that one target accepts.
        slices: Slices per block at the start.
        blocks: Blocks of the table; each stays well under a megabyte.
        checks_orders: Targets refuse lower fences and foreign requests.
        checks_expiry: Targets refuse requests once their grant has run out.
        grant: Times of the grant protocol in seconds.
        routes: Treatment by path; the longest matching prefix wins.
        timeout: Seconds that a request may take when it names no deadline.
        placement: Weights and bounds of placement.
        retry: When requests are sent again.
        queue: The queue for the slots of each target.
    """

    key: KeySource | None = None
    slots: Positive = 4
    connections: Positive = 120
    slices: Positive = 64
    blocks: Positive = 1
    checks_orders: bool = False
    checks_expiry: bool = False
    grant: grants.Timing = grants.Timing()
    routes: tuple[Route, ...] = (Route(),)
    timeout: Annotated[float, msgspec.Meta(gt=0)] = 30.0
    placement: Placement = Placement()
    retry: Retry = Retry()
    queue: Queue = Queue()


class Member(_Strict, frozen=True):
    """A member or client account.

    Attributes:
        credentials: SHA-256 digests, in hex, of its bearer tokens.
        share: Weight in fair queueing.
        concurrency: Requests under way over all entry VMs; 0 for no limit.
        rate: Requests a second over all entry VMs; 0 for no limit.
    """

    credentials: tuple[Digest, ...] = ()
    share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    concurrency: Annotated[int, msgspec.Meta(ge=0)] = 0
    rate: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Quarantine(_Strict, frozen=True):
    """When a request is refused because targets died while running it.

    Attributes:
        deaths: Deaths after which it is refused.
        seconds: How long a death is remembered.
        cleared: Fingerprint to configuration number: deaths of this request
            under configurations up to that number do not count any more.
    """

    deaths: Positive = 2
    seconds: Annotated[float, msgspec.Meta(gt=0)] = 900.0
    cleared: dict[str, int] = {}


class Link(_Strict, frozen=True):
    """The link between any two regions, the same in each direction.

    Attributes:
        bytes_per_second: What it carries.
        usable: Share of it that the router plans with; the rest absorbs
            framing and bursts.
        control_bytes_per_second: Kept free for messages between entry VMs.
    """

    bytes_per_second: Positive = 3_750_000
    usable: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.9
    control_bytes_per_second: Annotated[int, msgspec.Meta(ge=0)] = 125_000


class Document(_Strict, frozen=True):
    """The whole configuration.

    Attributes:
        services: By name; the name is the first segment of a request's path.
        members: By name.
        quarantine: What happens to requests that stop targets.
        link: The link between regions.
    """

    services: dict[Name, Service] = {}
    members: dict[Name, Member] = {}
    quarantine: Quarantine = Quarantine()
    link: Link = Link()


class Version(msgspec.Struct, frozen=True):
    """A numbered configuration; numbers only rise."""

    number: int
    document: Document


_DOCUMENT = msgspec.json.Decoder(Document)
_VERSION = msgspec.json.Decoder(Version)


def problems(document: Document) -> Iterator[str]:
    """Yields each fault that spans several fields, with path and mend."""
    for name, service in document.services.items():
        at = f"services.{name}"
        timing = service.grant
        if timing.renew * 2 > timing.ttl:
            yield (
                f"{at}.grant.renew: {timing.renew} s leaves no second try"
                f" within ttl {timing.ttl} s; set at most half of ttl"
            )
        if service.checks_expiry and not service.checks_orders:
            yield (
                f"{at}.checks_expiry: needs checks_orders; a target that"
                " checks the expiry of grants checks grants"
            )
        placed = service.placement
        if placed.end_below > placed.begin_above:
            yield (
                f"{at}.placement.end_below: {placed.end_below} is above"
                f" begin_above {placed.begin_above}; set at most that"
            )
        key = service.key
        if key and key.place is not KeyPlace.PATH and not key.name:
            yield f"{at}.key.name: missing; name the {key.place.value}"
    owners: dict[str, str] = {}
    for name, member in document.members.items():
        for digest in member.credentials:
            if digest in owners:
                yield (
                    f"members.{name}.credentials: {digest[:8]}… belongs to"
                    f" {owners[digest]} already; give each member its own"
                )
            owners[digest] = name


def decode_document(value: bytes) -> result.Result[Document, str]:
    """Decodes and checks a document; Err names path and mend."""
    try:
        document = _DOCUMENT.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(str(error))
    faults = list(problems(document))
    return result.Err("; ".join(faults)) if faults else result.Ok(document)


def decode_version(value: bytes) -> result.Result[Version, str]:
    """Decodes the store's value of a numbered configuration."""
    try:
        return result.Ok(_VERSION.decode(value))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(str(error))


def route_for(service: Service, path: str, method: str) -> Route:
    """Returns the route with the longest prefix that fits, or a default."""
    fitting = (
        r
        for r in service.routes
        if path.startswith(r.prefix) and (not r.methods or method in r.methods)
    )
    return max(fitting, key=lambda r: len(r.prefix), default=Route())


_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def is_idempotent(route: Route, method: str) -> bool:
    """Whether running a request of this route twice does no harm."""
    if route.idempotent is None:
        return method in _SAFE_METHODS
    return route.idempotent
