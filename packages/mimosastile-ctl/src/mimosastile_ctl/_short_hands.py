"""Commands that build, show and submit a patch for a common task."""

from collections.abc import Iterable
import pathlib
from typing import Any

import jsonpointer
import msgspec

from mimosastile_core import access
from mimosastile_core import config
from mimosastile_core import patches
from mimosastile_ctl import _session
from mimosastile_ctl import _submit

_Op = patches.Operation


def pointer(*parts: str) -> str:
    """Returns the JSON pointer (RFC 6901) of a path of unescaped names."""
    return "".join("/" + jsonpointer.escape(part) for part in parts)


def key_source(text: str) -> dict[str, Any]:
    """Parses `path:0`, `header:NAME` or `query:NAME` to a key source.

    Raises:
        ValueError: The path segment is not an integer.
    """
    place, _, name_or_segment = text.partition(":")
    if place == config.KeyPlace.PATH.value:
        return {"place": place, "segment": int(name_or_segment or 0)}
    return {"place": place, "name": name_or_segment}


class ServiceCommands:
    """Creates services."""

    def __init__(self, session: _session.Session) -> None:
        self._session = session

    def create(
        self, name: str, reason: str, key: str = "", **options: Any
    ) -> None:
        """Creates a service.

        Args:
            name: First segment of its requests' paths.
            reason: Why, for whoever reads it years later.
            key: Where requests carry the key: path:SEGMENT, header:NAME or
                query:NAME. Left out, the service is not divided by key.
            **options: Any field of the service by its name in
                CONFIGURATION.md (`--slots 2 --checks_orders`), and ticket,
                yes, dry_run, wait.
        """
        common, fields = _split_options(options)
        if key:
            try:
                fields["key"] = key_source(str(key))
            except ValueError:
                _session.exit_with(
                    f"--key {key}: no segment", _session.EXIT_INVALID
                )
        operation = _Op("add", pointer("services", name), fields)
        # Without this check a mistyped name would replace an existing service.
        version = _submit.current(self._session)
        if name in version.document.services:
            _session.exit_with(f"{name} exists already", _session.EXIT_CONFLICT)
        common.setdefault("base", version.number)
        _submit.submit(
            self._session, (operation,), _submit.Options(reason, **common)
        )


class LimitCommands:
    """Sets what a member may take."""

    def __init__(self, session: _session.Session) -> None:
        self._session = session

    def set(
        self,
        member: str,
        reason: str,
        concurrency: int | None = None,
        rate: float | None = None,
        share: float | None = None,
        **options: Any,
    ) -> None:
        """Sets limits of a member.

        Args:
            member: Its name.
            reason: Why, for whoever reads it years later.
            concurrency: Requests under way over all entry VMs; 0 for none.
            rate: Requests a second over all entry VMs; 0 for none.
            share: Weight in fair queueing.
            **options: ticket, base, id, yes, dry_run, wait.
        """
        fields = {"concurrency": concurrency, "rate": rate, "share": share}
        operations = (
            _Op("replace", pointer("members", member, name), value)
            for name, value in fields.items()
            if value is not None
        )
        _submit.submit(
            self._session, operations, _submit.Options(reason, **options)
        )


class MemberCommands:
    """Adds members."""

    def __init__(self, session: _session.Session) -> None:
        self._session = session

    def add(
        self, name: str, reason: str, credential_file: str = "", **options: Any
    ) -> None:
        """Adds a member.

        Args:
            name: Its name.
            reason: Why, for whoever reads it years later.
            credential_file: File with its token; only the digest is submitted.
            **options: share, concurrency, rate, and ticket, base, id, yes,
                dry_run, wait.
        """
        common, fields = _split_options(options)
        if credential_file:
            try:
                token = pathlib.Path(credential_file).read_text("utf-8").strip()
            except (OSError, UnicodeDecodeError) as error:
                _session.exit_with(
                    f"{credential_file}: {error}", _session.EXIT_INVALID
                )
            fields["credentials"] = [access.digest(token)]
        version = _submit.current(self._session)
        if name in version.document.members:
            _session.exit_with(f"{name} exists already", _session.EXIT_CONFLICT)
        common.setdefault("base", version.number)
        operation = _Op("add", pointer("members", name), fields)
        _submit.submit(
            self._session, (operation,), _submit.Options(reason, **common)
        )


def move(
    service: str, key: str, target: str, version: config.Version
) -> Iterable[_Op]:
    """Returns the operations that pin a key to a target.

    An empty target removes the pin.
    """
    del version
    path = pointer("services", service, "moves", key)
    return (_Op("add", path, target) if target else _Op("remove", path),)


def drain(
    service: str, target: str, end: bool, version: config.Version
) -> Iterable[_Op]:
    """Returns the operations that start or end draining a target."""
    existing = version.document.services.get(service)
    drains = existing.drains if existing else ()
    remaining = tuple(vm for vm in drains if vm != target)
    updated = remaining if end else (*remaining, target)
    return (_Op("replace", pointer("services", service, "drains"), updated),)


def clear(fingerprint: str, version: config.Version) -> Iterable[_Op]:
    """Returns the operations that release a request from quarantine."""
    path = pointer("quarantine", "cleared", fingerprint)
    return (_Op("add", path, version.number),)


def _split_options(
    options: dict[str, Any],
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Separates submission options from the fields of the new object."""
    names = set(_submit.Options.__slots__)
    common = {n: v for n, v in options.items() if n in names}
    fields = {n: v for n, v in options.items() if n not in names}
    return common, msgspec.to_builtins(fields)
