"""Schema and validation of the operators' configuration document.

Decoding checks the types and bounds of single fields; `find_problems` checks
constraints across fields.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
from typing import Annotated
from typing import Any

import msgspec
import result

from mimosastile_core import decoding
from mimosastile_core import grants

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
VmId = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

ALL = "*"
"""Wildcard in a scope: every service or every member."""


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
    """Base of all configuration structures; rejects unknown fields."""


class KeySource(_Strict, frozen=True):
    """Location of the key in the requests of a service.

    Attributes:
        place: Part of the request.
        name: Name of the header or query parameter.
        segment: For paths, the index of the segment after the service's name,
            from 0.
    """

    place: KeyPlace
    name: str = ""
    segment: Annotated[int, msgspec.Meta(ge=0)] = 0


class Route(_Strict, frozen=True):
    """How requests under a path prefix are treated.

    Attributes:
        prefix: Path prefix after the service's name, beginning with a slash.
        methods: HTTP methods; empty for all.
        priority: Priority class of these requests.
        idempotent: Whether these requests are idempotent; None decides by the
            method (GET, HEAD and OPTIONS are idempotent).
    """

    prefix: Annotated[str, msgspec.Meta(pattern=r"^/")] = "/"
    methods: tuple[str, ...] = ()
    priority: Priority = Priority.INTERACTIVE
    idempotent: bool | None = None


class Placement(_Strict, frozen=True):
    """Weights and bounds of the placement of a service's slices.

    Attributes:
        imbalance: Weight of uneven load.
        churn: Weight of keys that change owner.
        unavailable: Weight of the time that requests wait while keys move.
        begin_above: Relative excess of the most loaded target over its fair
            load above which moves begin.
        end_below: Relative excess below which moves end.
        split_above: Load of a slice, as a fraction of a target's fair load,
            above which the slice is split.
        slices_at_most: Maximum number of slices of the service.
        moves_in_flight: Maximum number of slices that move at a time.
        ramp: Seconds until a new target carries a full share (slow start).
        idle_below: Fraction of a target's slots in use below which load is
            not rebalanced, because imbalance cannot be distinguished from
            random variation.
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
    """Retry policy of the router for the requests of a service.

    Attributes:
        budget: Retries per request, averaged over many requests.
        burst: Retries allowed at once after a period without retries.
        attempts: Maximum number of times that an idempotent request is sent.
        backoff: Seconds before the first retry; doubles each time, with
            jitter.
        owner_wait: Maximum wait in seconds for a target that may run the
            request; after that the request is refused as not run.
    """

    budget: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    burst: Annotated[float, msgspec.Meta(ge=0)] = 10.0
    attempts: Positive = 3
    backoff: Annotated[float, msgspec.Meta(gt=0)] = 0.01
    owner_wait: Annotated[float, msgspec.Meta(ge=0)] = 2.0


class Queue(_Strict, frozen=True):
    """Queue for the slots of each target of a service.

    Attributes:
        wait: Maximum wait in seconds; a request with a longer expected wait
            is refused at once.
        length: Maximum number of requests that wait for one target.
        bulk_slots: Maximum number of a target's slots in use by bulk requests;
            0 for half of its slots.
    """

    wait: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    length: Positive = 512
    bulk_slots: Annotated[int, msgspec.Meta(ge=0)] = 0


class Service(_Strict, frozen=True):
    """A service behind the router.

    Attributes:
        key: Location of the key; None for a service not divided by key.
        slots: Maximum number of concurrent requests per target.
        connections: Maximum number of connections per target.
        slices: Initial number of slices per block.
        blocks: Number of blocks of the table; each block stays well under a
            megabyte.
        checks_orders: Whether targets refuse lower fences and requests for
            slices that they do not own.
        checks_expiry: Whether targets refuse requests after their grant has
            expired.
        grant: Durations of the grant protocol in seconds.
        routes: Treatment by path; the longest matching prefix applies.
        timeout: Timeout in seconds of a request without a deadline.
        placement: Weights and bounds of placement.
        drains: Targets drained by operators: they get no new work and their
            slices move away, as if the platform listed them as leaving.
        moves: Target by key, as pinned by operators; the slice of the key, or
            a new slice for it, moves to the target while that is live and not
            drained.
        retry: Retry policy of the router.
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
    drains: tuple[VmId, ...] = ()
    moves: dict[str, VmId] = {}
    retry: Retry = Retry()
    queue: Queue = Queue()


class Member(_Strict, frozen=True):
    """A member or client account.

    Attributes:
        credentials: SHA-256 digests, in hex, of its bearer tokens.
        share: Weight in fair queueing.
        concurrency: Limit on concurrent requests over all entry VMs; 0 for
            none.
        rate: Limit on requests per second over all entry VMs; 0 for none.
    """

    credentials: tuple[Digest, ...] = ()
    share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    concurrency: Annotated[int, msgspec.Meta(ge=0)] = 0
    rate: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Role(enum.Enum):
    """Permission of an operator's token."""

    READ = "read"
    PROPOSE = "propose"
    APPROVE = "approve"
    OPERATE = "operate"


class Operator(_Strict, frozen=True):
    """A person, team or program that administers some services and members.

    Attributes:
        tokens: SHA-256 digests, in hex, of its bearer tokens; two during a
            token rotation.
        roles: Permissions: read; propose (check a patch without applying
            it); operate (apply patches that only drain targets, move keys or
            clear quarantine); approve (apply any patch). Each role includes
            those before it.
        services: Services that its patches may touch; "*" for all.
        members: Members that its patches may touch; "*" for all.
    """

    tokens: tuple[Digest, ...] = ()
    roles: tuple[Role, ...] = (Role.READ,)
    services: tuple[str, ...] = ()
    members: tuple[str, ...] = ()


class Quarantine(_Strict, frozen=True):
    """When a request is refused because targets crashed while running it.

    Attributes:
        deaths: Number of crashes after which the request is refused.
        seconds: Time in seconds for which a crash counts.
        cleared: Configuration number by request fingerprint: crashes of the
            request under configurations up to that number no longer count.
    """

    deaths: Positive = 2
    seconds: Annotated[float, msgspec.Meta(gt=0)] = 900.0
    cleared: dict[str, int] = {}


class Link(_Strict, frozen=True):
    """Capacity of the link between two regions, equal in each direction.

    Attributes:
        bytes_per_second: Bandwidth of the link.
        usable: Fraction of the bandwidth that the router allocates; the rest
            absorbs framing and bursts.
        control_bytes_per_second: Bandwidth reserved for messages between entry
            VMs.
    """

    bytes_per_second: Positive = 3_750_000
    usable: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.9
    control_bytes_per_second: Annotated[int, msgspec.Meta(ge=0)] = 125_000


class Document(_Strict, frozen=True):
    """The whole configuration.

    Attributes:
        services: By name; the name is the first segment of a request's path.
        members: By name.
        operators: By name; only an operator with all services and all members
            in scope may change them.
        quarantine: Treatment of requests that crash targets.
        link: Capacity of the links between regions.
    """

    services: dict[Name, Service] = {}
    members: dict[Name, Member] = {}
    operators: dict[Name, Operator] = {}
    quarantine: Quarantine = Quarantine()
    link: Link = Link()


class Change(msgspec.Struct, frozen=True):
    """The change that made a numbered configuration.

    Attributes:
        number: The number; the base of the patch is the previous one.
        id: Identifier of the patch.
        author: Operator whose token submitted the patch.
        reason: The operator's reason.
        ticket: Reference into the operators' issue tracker, may be empty.
        time: Seconds since 1970 UTC on the clock of the accepting VM.
        operations: The operations of the patch, as submitted.
        paths: JSON pointers to the changed values.
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
    """A numbered configuration; numbers only increase.

    Attributes:
        number: The number.
        document: The configuration.
        change: The change from the previous number; None if the configuration
            was written to the store without a patch.
    """

    number: int
    document: Document
    change: Change | None = None


_VERSION = msgspec.json.Decoder(Version)


def find_problems(document: Document) -> Iterator[str]:
    """Yields violations of constraints across fields, with path and fix."""
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
        placement = service.placement
        if placement.end_below > placement.begin_above:
            yield (
                f"{at}.placement.end_below: {placement.end_below} is above"
                f" begin_above {placement.begin_above}; set at most that"
            )
        key = service.key
        if key and key.place is not KeyPlace.PATH and not key.name:
            yield f"{at}.key.name: missing; name the {key.place.value}"
        yield from _move_problems(at, service)
    yield from _duplicate_digests(
        (f"members.{name}.credentials", m.credentials)
        for name, m in document.members.items()
    )
    yield from _operator_problems(document)


def _move_problems(at: str, service: Service) -> Iterator[str]:
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
    yield from _duplicate_digests(
        (f"operators.{name}.tokens", o.tokens)
        for name, o in document.operators.items()
    )
    for name, operator in document.operators.items():
        for part, defined in (
            ("services", document.services),
            ("members", document.members),
        ):
            scope: tuple[str, ...] = getattr(operator, part)
            for undefined in (
                s for s in scope if s != ALL and s not in defined
            ):
                # An unknown name left in a scope would grant access to the
                # next service or member of that name.
                yield (
                    f"operators.{name}.{part}: no {part[:-1]} {undefined!r};"
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
    """Whether an operator may change the whole document."""
    return (
        bool(operator.tokens)
        and Role.APPROVE in operator.roles
        and ALL in operator.services
        and ALL in operator.members
    )


def _duplicate_digests(
    digest_lists: Iterable[tuple[str, tuple[Digest, ...]]],
) -> Iterator[str]:
    first_uses: dict[str, str] = {}
    for at, digests in digest_lists:
        for digest in digests:
            if digest in first_uses:
                yield (
                    f"{at}: {digest[:8]}… belongs to {first_uses[digest]}"
                    " already; give each its own"
                )
            first_uses[digest] = at


_SECTIONS: tuple[tuple[str, Any], ...] = (
    ("services", Service),
    ("members", Member),
    ("operators", Operator),
)


def convert_document(raw: Any) -> result.Result[Document, str]:
    """Converts and validates plain JSON; an error names path and fix."""
    try:
        document = msgspec.convert(raw, Document)
    except msgspec.ValidationError as error:
        return result.Err("; ".join(_type_errors(raw)) or str(error))
    problems = list(find_problems(document))
    return result.Err("; ".join(problems)) if problems else result.Ok(document)


def _type_errors(raw: Any) -> Iterator[str]:
    """Yields errors of type or bounds with section and name.

    The library's message has `$.services[...]` for every service and so does
    not identify the entry.
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
    """Decodes and validates a document; an error names path and fix."""
    read = decoding.decode(msgspec.json.decode, value)
    if isinstance(read, result.Err):
        return read
    return convert_document(read.ok_value)


def decode_version(value: bytes) -> result.Result[Version, str]:
    """Decodes a numbered configuration from its store value."""
    return decoding.decode(_VERSION.decode, value)


def route_for(service: Service, path: str, method: str) -> Route:
    """Returns the matching route with the longest prefix, or a default."""
    matching = (
        r
        for r in service.routes
        if path.startswith(r.prefix) and (not r.methods or method in r.methods)
    )
    return max(matching, key=lambda r: len(r.prefix), default=Route())


_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def is_idempotent(route: Route, method: str) -> bool:
    """Whether a request of this route is idempotent."""
    if route.idempotent is None:
        return method in _SAFE_METHODS
    return route.idempotent
