"""Classification of requests by configuration, and error responses."""

from collections.abc import AsyncIterator
from urllib import parse

import msgspec
import result

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import holder
from mimosastile_core import keys
from mimosastile_core import plans
from mimosastile_core import retries
from mimosastile_core import tables
from mimosastile_entry import _wire
from mimosastile_entry import ports

SendResult = result.Result[ports.Response, errors.Failure]


class Call(msgspec.Struct):
    """A request with the configuration that applies to it.

    Attributes:
        request: The request.
        plan: Configuration of its service.
        treatment: Configuration of requests with its path and method.
        position: Hash of the key, None if the service has no key.
        attempts: Outcomes of the attempts so far.
    """

    request: ports.Request
    plan: plans.Plan
    treatment: plans.Treatment
    position: int | None
    attempts: retries.Attempts


class Hop(msgspec.Struct, frozen=True):
    """One route for a call: the target, its keeper and the fencing token.

    The keeper of a target is the only entry VM that sends it requests and
    grants.
    """

    target: fleet.Vm
    keeper: tables.KeeperRef
    fence: holder.RequestFence | None


def classify(
    plan: plans.Plan, request: ports.Request, rest: str
) -> result.Result[Call, errors.Failure]:
    """Returns a request with the configuration that applies to it.

    Args:
        plan: Configuration of the request's service.
        request: The request.
        rest: Its path after the service's name, percent-encoded.
    """
    treatment = plan.treatment("/" + rest, request.method)
    source = plan.service.key
    position = None
    if source is not None:
        key = request_key(source, request, rest)
        if not key:
            return failed(errors.ErrorKind.BAD_REQUEST, "The key is missing.")
        position = keys.key_hash(key)
    attempts = retries.Attempts(
        idempotent=treatment.idempotent,
        streamed=request.stream is not None,
        sharded=position is not None,
        deadline=request.deadline,
    )
    return result.Ok(Call(request, plan, treatment, position, attempts))


def request_key(
    source: config.KeySource, request: ports.Request, rest: str
) -> str:
    """Returns the key that a request carries, empty if it carries none.

    Args:
        source: Location of the key as the service declares it.
        request: The request.
        rest: The path after the service's name, percent-encoded.
    """
    if source.place is config.KeyPlace.PATH:
        segments = rest.split("/")
        found = segments[source.segment : source.segment + 1]
        return parse.unquote(found[0]) if found else ""
    if source.place is config.KeyPlace.QUERY:
        return parse.parse_qs(request.query).get(source.name, [""])[0]
    wanted = source.name.lower()
    return next((v for n, v in request.headers if n == wanted), "")


def refuse(failure: errors.Failure, request_id: str) -> ports.Response:
    """Returns the error response for a failure."""
    body = msgspec.json.encode(errors.refusal(failure, request_id))
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        (_wire.ERROR, failure.kind.value),
    ]
    if failure.wait:
        headers.append(("retry-after", str(failure.wait)))
    return ports.Response(
        failure.response.status, tuple(headers), _single_chunk(body)
    )


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    yield body


def failed(
    kind: errors.ErrorKind, detail: str = ""
) -> result.Err[errors.Failure]:
    """Returns an error result with a failure."""
    return result.Err(errors.Failure(kind, detail))
