"""The configuration document that operators keep in the store.

One schema for everything operators decide. Decoding checks types and bounds;
`problems` checks what spans several fields.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
from typing import Annotated
from typing import Any

import msgspec
import result

from mimosastile_core import grants

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
VmId = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

ALL = "*"
"""In a scope: every service or every member."""


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
        drains: Targets that operators take out of use: they get no new work
            and their slices move away, as if the platform listed them as
            leaving.
        moves: Key to the target that operators want as its owner; the slice
            of the key, or a new one of its own, moves there while that target
            is live and not drained.
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
    drains: tuple[VmId, ...] = ()
    moves: dict[str, VmId] = {}
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


class Role(enum.Enum):
    """What an operator's token allows."""

    READ = "read"
    PROPOSE = "propose"
    APPROVE = "approve"
    OPERATE = "operate"


class Operator(_Strict, frozen=True):
    """A person, team or program that administers some services and members.

    Attributes:
        tokens: SHA-256 digests, in hex, of its bearer tokens; two while one
            takes the other's place.
        roles: What it may do: read; propose (check a patch without applying
            it); operate (apply patches that only drain targets, move keys or
            clear quarantine); approve (apply any patch). Each includes those
            before it.
        services: Services that its patches may touch; "*" for all.
        members: Members that its patches may touch; "*" for all.
    """

    tokens: tuple[Digest, ...] = ()
    roles: tuple[Role, ...] = (Role.READ,)
    services: tuple[str, ...] = ()
    members: tuple[str, ...] = ()


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
        operators: Who administers what, by name; only an operator with all
            services and all members may change it.
        quarantine: What happens to requests that stop targets.
        link: The link between regions.
    """

    services: dict[Name, Service] = {}
    members: dict[Name, Member] = {}
    operators: dict[Name, Operator] = {}
    quarantine: Quarantine = Quarantine()
    link: Link = Link()


class Change(msgspec.Struct, frozen=True):
    """How one number came about.

    Attributes:
        number: The number; the base of the patch is the one before it.
        id: Identifier of the patch.
        author: Operator whose token it came with.
        reason: Why.
        ticket: Reference into the operators' own tracker, may be empty.
        time: Seconds since 1970 UTC on the clock of the accepting VM.
        operations: The operations of the patch, as submitted.
        paths: JSON pointers to what it changed.
    """

    number: int
    id: str
    author: str
    reason: str
    ticket: str
    time: float
    operations: tuple[Any, ...]
    paths: tuple[str, ...]


class Version(msgspec.Struct, frozen=True, omit_defaults=True):
    """A numbered configuration; numbers only rise.

    Attributes:
        number: The number.
        document: The configuration.
        change: What made this number out of the one before; None if it was
            put into the store without a patch.
    """

    number: int
    document: Document
    change: Change | None = None


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
        yield from _operation_problems(at, service)
    yield from _shared_digests(
        (f"members.{name}.credentials", m.credentials)
        for name, m in document.members.items()
    )
    yield from _operator_problems(document)


def _operation_problems(at: str, service: Service) -> Iterator[str]:
    if service.moves and service.key is None:
        yield (
            f"{at}.moves: the service is not divided by key; remove the moves"
            " or set key"
        )
    for key, target in service.moves.items():
        if target in service.drains:
            yield (
                f"{at}.moves.{key}: {target} is drained; name another target"
                " or end the drain"
            )


def _operator_problems(document: Document) -> Iterator[str]:
    yield from _shared_digests(
        (f"operators.{name}.tokens", o.tokens)
        for name, o in document.operators.items()
    )
    for name, operator in document.operators.items():
        for part, known in (
            ("services", document.services),
            ("members", document.members),
        ):
            scope: tuple[str, ...] = getattr(operator, part)
            for unknown in (s for s in scope if s != ALL and s not in known):
                # Left in place, the scope would apply to whoever gets the
                # name next.
                yield (
                    f"operators.{name}.{part}: no {part[:-1]} {unknown!r};"
                    f" add it first or take it out of the scope"
                )
    if document.operators and not any(
        is_administrator(o) for o in document.operators.values()
    ):
        yield (
            "operators: nobody could change them any more; keep one with"
            ' a token, role approve, services ["*"] and members ["*"]'
        )


def is_administrator(operator: Operator) -> bool:
    """Whether an operator may change everything, operators included."""
    return (
        bool(operator.tokens)
        and Role.APPROVE in operator.roles
        and ALL in operator.services
        and ALL in operator.members
    )


def _shared_digests(
    holders: Iterable[tuple[str, tuple[Digest, ...]]],
) -> Iterator[str]:
    owners: dict[str, str] = {}
    for at, digests in holders:
        for digest in digests:
            if digest in owners:
                yield (
                    f"{at}: {digest[:8]}… belongs to {owners[digest]}"
                    " already; give each its own"
                )
            owners[digest] = at


_SECTIONS: tuple[tuple[str, Any], ...] = (
    ("services", Service),
    ("members", Member),
    ("operators", Operator),
)


def convert_document(raw: Any) -> result.Result[Document, str]:
    """Checks a plain JSON document; Err names path and mend."""
    try:
        document = msgspec.convert(raw, Document)
    except msgspec.ValidationError as error:
        return result.Err("; ".join(_misfits(raw)) or str(error))
    faults = list(problems(document))
    return result.Err("; ".join(faults)) if faults else result.Ok(document)


def _misfits(raw: Any) -> Iterator[str]:
    """Yields mistakes of type or bound by section and name.

    The library's own message says `$.services[...]` for every service.
    """
    for section, kind in _SECTIONS:
        part = raw.get(section) if isinstance(raw, dict) else None
        for name, value in part.items() if isinstance(part, dict) else ():
            for at, item, wanted in (
                (f"{section} {name!r}", name, Name),
                (f"{section}.{name}", value, kind),
            ):
                try:
                    msgspec.convert(item, wanted)
                except msgspec.ValidationError as error:
                    text, _, path = str(error).partition(" - at `$")
                    yield f"{at}{path.rstrip('`')}: {text}"


def decode_document(value: bytes) -> result.Result[Document, str]:
    """Decodes and checks a document; Err names path and mend."""
    try:
        return convert_document(msgspec.json.decode(value))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(str(error))


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
