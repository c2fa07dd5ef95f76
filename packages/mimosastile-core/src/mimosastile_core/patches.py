"""JSON Patch (RFC 6902) changes of the configuration.

A configuration changes only by patches. A patch is a list of operations
against one numbered configuration. It is atomic: it is accepted whole, as the
next number, or rejected.
"""

from collections.abc import Iterator
import itertools
from typing import Annotated
from typing import Any
from typing import Literal

import jsonpatch
import jsonpointer
import msgspec
import result

from mimosastile_core import config
from mimosastile_core import decoding
from mimosastile_core import errors

MAX_DOCUMENT_BYTES = 512 << 10
"""Maximum size of a document; with its change it stays below the store's limit
of one megabyte per value."""

MAX_PATCH_BYTES = 256 << 10
"""Maximum size of an encoded patch."""

MAX_PATHS = 64
"""Maximum number of paths that a change lists; more are replaced by parents."""

MAX_PATHS_BYTES = 4 << 10
"""Maximum length of all paths of a change together, in characters."""

# Control characters are excluded: each takes six bytes in a block of the
# history, and a terminal would interpret them.
Text = Annotated[
    str, msgspec.Meta(max_length=1000, pattern=r"^[^\x00-\x1f\x7f]+\Z")
]
Ticket = Annotated[
    str, msgspec.Meta(max_length=200, pattern=r"^[^\x00-\x1f\x7f]*\Z")
]
PatchId = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Za-z-]{8,64}\Z")]
Outcome = result.Result["Proposal", errors.Failure]
Applied = result.Result[Any, errors.Failure]

_PATCH_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    # The library does not check the types of the values on a path; an operation
    # that treats a number as an object raises one of these.
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


class Operation(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"source": "from"},
):
    """One operation of RFC 6902.

    Attributes:
        op: Kind of the operation.
        path: JSON pointer to the target value.
        value: New value for add and replace, expected value for test.
        source: JSON pointer to the source value of move and copy.
    """

    op: Literal["add", "remove", "replace", "move", "copy", "test"]
    path: str
    value: Any = msgspec.UNSET
    source: str | msgspec.UnsetType = msgspec.UNSET


class Patch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A patch as submitted by an operator.

    Attributes:
        id: Idempotency key, chosen by the sender and unique to the patch. A
            patch whose response was lost is sent again with the same
            identifier.
        base: Number of the configuration that the operations apply to.
        reason: Reason for the change, kept in the history.
        operations: The operations, applied in order.
        ticket: Reference into the operators' issue tracker.
    """

    id: PatchId
    base: Annotated[int, msgspec.Meta(ge=0)]
    reason: Text
    operations: Annotated[
        tuple[Operation, ...], msgspec.Meta(min_length=1, max_length=1000)
    ]
    ticket: Ticket = ""


class Proposal(msgspec.Struct, frozen=True):
    """The result of a valid patch.

    Attributes:
        document: The configuration with the patch applied.
        paths: JSON pointers to the values that differ from the base.
    """

    document: config.Document
    paths: tuple[str, ...]


_DECODER = msgspec.json.Decoder(Patch)


def decode(data: bytes) -> result.Result[Patch, errors.Failure]:
    """Decodes a patch from an operator's request body."""
    if len(data) > MAX_PATCH_BYTES:
        return errors.failed(
            errors.ErrorKind.BODY_TOO_LARGE,
            f"A patch has at most {MAX_PATCH_BYTES} bytes; submit several.",
        )
    read = decoding.decode(_DECODER.decode, data)
    if isinstance(read, result.Err):
        return errors.failed(errors.ErrorKind.BAD_REQUEST, read.err_value)
    return read


def to_raw(document: config.Document) -> dict[str, Any]:
    """Returns the document as plain JSON with all defaults written out.

    With explicit defaults, `replace` works on every field and a pointer has
    the same meaning in every version.
    """
    raw: dict[str, Any] = _to_plain_json(document)
    return raw


def apply_raw(raw: Any, operations: tuple[Operation, ...]) -> Applied:
    """Applies operations to a copy of a plain JSON document."""
    try:
        return result.Ok(
            jsonpatch.JsonPatch(_to_plain_json(operations)).apply(raw)
        )
    except _PATCH_ERRORS as error:
        return errors.failed(
            errors.ErrorKind.INVALID_CONFIG,
            f"The operations do not fit: {error or type(error).__name__}.",
        )


def propose(document: config.Document, patch: Patch) -> Outcome:
    """Applies a patch and validates the result.

    Args:
        document: The base of the patch.
        patch: The patch.

    Returns:
        The new document and its changed paths, or a failure whose detail
        names path and fix of each error.
    """
    raw = to_raw(document)
    changed = apply_raw(raw, patch.operations)
    if isinstance(changed, result.Err):
        return changed
    checked = config.convert_document(changed.ok_value)
    if isinstance(checked, result.Err):
        return errors.failed(errors.ErrorKind.INVALID_CONFIG, checked.err_value)
    paths = tuple(changed_paths(raw, to_raw(checked.ok_value)))
    if not paths:
        return errors.failed(
            errors.ErrorKind.INVALID_CONFIG,
            "Nothing changes.",
        )
    size = len(msgspec.json.encode(checked.ok_value))
    if size > MAX_DOCUMENT_BYTES:
        return errors.failed(
            errors.ErrorKind.INVALID_CONFIG,
            f"{size} bytes; a configuration has at most {MAX_DOCUMENT_BYTES}.",
        )
    return result.Ok(Proposal(checked.ok_value, shorten_paths(paths)))


def pointers(patch: Patch) -> Iterator[str]:
    """Yields every JSON pointer that a patch reads or writes."""
    for operation in patch.operations:
        yield operation.path
        if isinstance(operation.source, str):
            yield operation.source


def changed_paths(before: Any, after: Any, at: str = "") -> Iterator[str]:
    """Yields JSON pointers to the values that differ.

    Objects are compared member by member; any other value that differs is one
    path. The documents are compared, not the operations: a patch that replaces
    the root yields only the values that it actually changes.
    """
    if not (isinstance(before, dict) and isinstance(after, dict)):
        if before != after or type(before) is not type(after):
            yield at
        return
    for name in sorted(before.keys() | after.keys()):
        path = f"{at}/{jsonpointer.escape(name)}"
        if name in before and name in after:
            yield from changed_paths(before[name], after[name], path)
        else:
            yield path


def shorten_paths(paths: tuple[str, ...]) -> tuple[str, ...]:
    """Returns paths, replaced by their parents while above the limits."""
    for depth in (3, 2, 1):
        size = sum(map(len, paths))
        if len(paths) <= MAX_PATHS and size <= MAX_PATHS_BYTES:
            break
        cut = ("/".join(path.split("/")[: depth + 1]) for path in paths)
        paths = tuple(dict.fromkeys(cut))
    return paths


def overlaps(path: str, other_path: str) -> bool:
    """Whether one of two JSON pointers contains the other."""
    one, other = path.split("/"), other_path.rstrip("/").split("/")
    return all(a == b for a, b in zip(one, other, strict=False))


def diff(
    before: config.Document, after: config.Document
) -> tuple[Operation, ...]:
    """Returns operations that transform one document into another."""
    patch = jsonpatch.make_patch(to_raw(before), to_raw(after))
    return msgspec.convert(patch.patch, tuple[Operation, ...])


def revert(
    before: config.Document, after: config.Document, now: config.Document
) -> result.Result[tuple[Operation, ...], errors.Failure]:
    """Returns operations that revert one change but no later one.

    Args:
        before: The document before the change.
        after: The document after it.
        now: The current document.

    Returns:
        Operations for `now`, or a conflict that names the paths that were
        changed again later.
    """
    old, new, current = to_raw(before), to_raw(after), to_raw(now)
    paths = tuple(changed_paths(old, new))
    conflicting = [
        p for p in paths if _value_at(new, p) != _value_at(current, p)
    ]
    if conflicting:
        return errors.failed(
            errors.ErrorKind.CONFLICT,
            "Changed again since: " + ", ".join(conflicting),
        )
    return result.Ok(
        tuple(itertools.starmap(_revert_operation, _values_at(old, paths)))
    )


def _values_at(raw: Any, paths: tuple[str, ...]) -> Iterator[tuple[str, Any]]:
    return ((path, _value_at(raw, path)) for path in paths)


def _revert_operation(path: str, value: Any) -> Operation:
    if value is msgspec.UNSET:
        return Operation("remove", path)
    return Operation("add", path, value)


def _to_plain_json(value: Any) -> Any:
    # The JSON round trip turns tuples into lists: the library treats a tuple
    # as a scalar and rejects paths into it.
    return msgspec.json.decode(msgspec.json.encode(value))


def _value_at(raw: Any, path: str) -> Any:
    return jsonpointer.resolve_pointer(raw, path, msgspec.UNSET)
