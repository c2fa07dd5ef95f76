"""Administration API: HTTP with JSON under /v1 on the internal port."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
import result
from starlette import requests
from starlette import responses
from starlette import routing

from mimosastile_core import access
from mimosastile_core import administration
from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import keys
from mimosastile_core import patches
from mimosastile_entry import _access
from mimosastile_entry import _audit
from mimosastile_entry import _configuration
from mimosastile_entry import _explain
from mimosastile_entry import _fleet
from mimosastile_entry import _metrics
from mimosastile_entry import _state
from mimosastile_entry import kernel

_MAX_LIMIT = 500
_DEFAULT_LIMIT = 20
_MAX_NUMBER_DIGITS = 15

Outcome = result.Result[Any, errors.Failure | administration.Rejected]


class Call:
    """An operator's authenticated request.

    Attributes:
        principal: The operator and its permissions.
        request: The HTTP request.
    """

    __slots__ = ("principal", "request")

    def __init__(
        self, principal: access.Principal, request: requests.Request
    ) -> None:
        self.principal = principal
        self.request = request

    def text(self, name: str) -> str:
        """Returns a path or query parameter; empty if it is missing."""
        found = self.request.path_params.get(name)
        return str(found or self.request.query_params.get(name, ""))

    def number(self, name: str, default: int) -> int:
        """Returns a whole number from path or query, else the default."""
        text = self.text(name)
        # int() raises for thousands of digits, which would be returned as an
        # internal error.
        if len(text) > _MAX_NUMBER_DIGITS or not (
            text.isascii() and text.isdecimal()
        ):
            return default
        return int(text)

    @property
    def limit(self) -> int:
        """Number of items to return, from 1 to `_MAX_LIMIT`."""
        return min(max(self.number("limit", _DEFAULT_LIMIT), 1), _MAX_LIMIT)


Handler = Callable[[Call], Awaitable[Outcome]]


class AdminApi:
    """Routes and handlers of the administration API."""

    __slots__ = (
        "_access",
        "_audit",
        "_configuration",
        "_fleet",
        "_kernel",
        "_state",
    )

    def __init__(self, kernel: kernel.Kernel) -> None:
        """Initializes the API.

        Args:
            kernel: The daemon's kernel; its services have started.
        """
        self._kernel = kernel
        self._access: _access.AccessService = kernel.find("access")
        self._audit: _audit.AuditService = kernel.find("audit")
        self._state: _state.StateService = kernel.find("state")
        self._fleet: _fleet.FleetService = kernel.find("fleet")
        self._configuration: _configuration.ConfigurationService = kernel.find(
            "configuration"
        )

    def routes(self) -> list[routing.Route]:
        """Returns the routes."""
        read, propose = config.Role.READ, config.Role.PROPOSE
        views: tuple[tuple[str, Handler], ...] = (
            ("/v1/config", self._show),
            ("/v1/config/diff", self._diff),
            ("/v1/config/history", self._history),
            ("/v1/config/changes/{number}", self._change),
            ("/v1/config/blame", self._blame),
            ("/v1/config/revert/{number}", self._revert),
            ("/v1/config/in-force", self._in_force),
            ("/v1/tables/{service}", self._table),
            ("/v1/tables/{service}/owner/{key:path}", self._owner),
            ("/v1/explain/{service}/{key:path}", self._explain),
            ("/v1/members", self._members),
            ("/v1/quarantine", self._quarantine),
            ("/v1/link", self._link),
            ("/v1/dump", self._dump),
            ("/v1/audit", self._audit_entries),
        )
        return [
            *(self._route(path, "GET", read, view) for path, view in views),
            self._route("/v1/config/propose", "POST", propose, self._propose),
            routing.Route("/metrics", self._metrics, methods=["GET"]),
            # The handler checks the role, as it depends on the changed paths.
            self._route("/v1/config/apply", "POST", read, self._apply),
        ]

    def _route(
        self, path: str, method: str, role: config.Role, handler: Handler
    ) -> routing.Route:
        async def endpoint(request: requests.Request) -> responses.Response:
            authorization = request.headers.get("authorization", "")
            found = self._access.identify(authorization)
            if isinstance(found, result.Err):
                self._audit_failure("", request, found.err_value)
                return _respond(found)
            principal = found.ok_value
            if not principal.has(role):
                refused = errors.failed(
                    errors.ErrorKind.FORBIDDEN, f"Needs the role {role.value}."
                )
                self._audit_failure(principal.name, request, refused.err_value)
                return _respond(refused)
            outcome = await handler(Call(principal, request))
            if isinstance(outcome, result.Err):
                self._audit_if_forbidden(
                    principal.name, request, outcome.err_value
                )
            return _respond(outcome)

        return routing.Route(path, endpoint, methods=[method])

    async def _metrics(self, request: requests.Request) -> responses.Response:
        # The metrics name members, so they need a scope that covers all.
        authorization = request.headers.get("authorization", "")
        found = self._access.identify(authorization)
        if isinstance(found, result.Err):
            return _respond(found)
        if not found.ok_value.covers_all:
            return _respond(_scope_failure())
        page = self._kernel.find("metrics").exposition()
        return responses.Response(page, media_type=_metrics.CONTENT_TYPE)

    async def _show(self, call: Call) -> Outcome:
        current = self._configuration.current
        number = call.number("number", current.number)
        document = await self._configuration.document(number)
        if isinstance(document, result.Err):
            return document
        in_scope = access.visible_document(call.principal, document.ok_value)
        return result.Ok(config.Version(number, in_scope))

    async def _diff(self, call: Call) -> Outcome:
        newest = self._configuration.current.number
        newer = call.number("newer", newest)
        older = call.number("older", max(newer - 1, 0))
        in_scope: list[config.Document] = []
        for number in (older, newer):
            document = await self._configuration.document(number)
            if isinstance(document, result.Err):
                return document
            in_scope.append(
                access.visible_document(call.principal, document.ok_value)
            )
        before, after = in_scope
        paths = patches.changed_paths(
            patches.to_raw(before), patches.to_raw(after)
        )
        operations = patches.diff(before, after)
        return result.Ok(
            administration.Difference(older, newer, tuple(paths), operations)
        )

    async def _history(self, call: Call) -> Outcome:
        before = call.number("before", 0)
        changes = await self._configuration.history(before, call.limit)
        return _visible_changes(call, changes)

    async def _blame(self, call: Call) -> Outcome:
        path = call.text("path")
        return _visible_changes(
            call, await self._configuration.blame(path, call.limit)
        )

    async def _change(self, call: Call) -> Outcome:
        change = await self._configuration.change(call.number("number", 0))
        if isinstance(change, result.Err):
            return change
        return result.Ok(access.visible_change(call.principal, change.ok_value))

    async def _revert(self, call: Call) -> Outcome:
        number = call.number("number", 0)
        change = await self._configuration.change(number)
        if isinstance(change, result.Err):
            return change
        # The operations that undo a change reveal the previous values.
        refused = _hidden_change(call.principal, change.ok_value)
        if refused is not None:
            return result.Err(refused)
        return await self._configuration.revert(number)

    async def _in_force(self, call: Call) -> Outcome:
        newest = self._configuration.current.number
        number = call.number("number", newest)
        return result.Ok(await self._configuration.in_force(number))

    async def _propose(self, call: Call) -> Outcome:
        patch = await _read_patch(call)
        if isinstance(patch, result.Err):
            return patch
        preview = await self._configuration.preview(
            patch.ok_value, _scope_check(call.principal)
        )
        if isinstance(preview, result.Err):
            return preview
        full = preview.ok_value
        in_scope = access.visible_document(call.principal, full.document)
        return result.Ok(msgspec.structs.replace(full, document=in_scope))

    async def _apply(self, call: Call) -> Outcome:
        patch = await _read_patch(call)
        if isinstance(patch, result.Err):
            return patch
        return await self._configuration.apply(
            patch.ok_value,
            call.principal.name,
            _role_and_scope_check(call.principal),
        )

    async def _table(self, call: Call) -> Outcome:
        service = call.text("service")
        refused = _out_of_scope(call.principal, service)
        if refused is not None:
            return result.Err(refused)
        found = self._state.replica.table(service)
        if found is None:
            return errors.failed(errors.ErrorKind.UNKNOWN_SERVICE, service)
        return result.Ok(list(found.blocks.values()))

    async def _owner(self, call: Call) -> Outcome:
        service = call.text("service")
        refused = _out_of_scope(call.principal, service)
        if refused is not None:
            return result.Err(refused)
        found = self._state.replica.table(service)
        position = keys.key_hash(call.text("key"))
        location = found.locate(position) if found else None
        if location is None:
            return errors.failed(
                errors.ErrorKind.NOT_FOUND, "No table over the key."
            )
        return result.Ok(location)

    async def _explain(self, call: Call) -> Outcome:
        service = call.text("service")
        refused = _out_of_scope(call.principal, service)
        if refused is not None:
            return result.Err(refused)
        return _explain.explain(
            self._state.replica, self._fleet.fleet, service, call.text("key")
        )

    async def _members(self, call: Call) -> Outcome:
        members = access.visible_document(
            call.principal, self._configuration.current.document
        ).members
        return result.Ok(
            {
                name: administration.MemberView(
                    len(m.credentials), m.share, m.concurrency, m.rate
                )
                for name, m in members.items()
            }
        )

    async def _quarantine(self, call: Call) -> Outcome:
        return self._service_dump(call, "quarantine")

    async def _link(self, call: Call) -> Outcome:
        return self._service_dump(call, "links")

    async def _dump(self, call: Call) -> Outcome:
        if not call.principal.covers_all:
            return _scope_failure()
        return result.Ok(self._kernel.dump())

    async def _audit_entries(self, call: Call) -> Outcome:
        if not call.principal.covers_all:
            return _scope_failure()
        entries = await self._audit.entries()
        return entries.map(lambda found: found[: call.limit])

    def _service_dump(self, call: Call, service: str) -> Outcome:
        if not call.principal.covers_all:
            return _scope_failure()
        return result.Ok(self._kernel.dump().get(service, {}))

    def _audit_failure(
        self, operator: str, request: requests.Request, failure: errors.Failure
    ) -> None:
        action = f"{request.method} {request.url.path}"
        self._audit.record(operator, action, failure.kind.value, failure.detail)

    def _audit_if_forbidden(
        self,
        operator: str,
        request: requests.Request,
        refused: errors.Failure | administration.Rejected,
    ) -> None:
        if isinstance(refused, administration.Rejected):
            refused = refused.failure
        if refused.kind is errors.ErrorKind.FORBIDDEN:
            self._audit_failure(operator, request, refused)


def _role_and_scope_check(
    principal: access.Principal,
) -> _configuration.Allowed:
    def allowed(paths: tuple[str, ...]) -> errors.Failure | None:
        return access.check_role(principal, paths) or access.check_paths(
            principal, paths
        )

    return allowed


def _scope_check(principal: access.Principal) -> _configuration.Allowed:
    def within(paths: tuple[str, ...]) -> errors.Failure | None:
        return access.check_paths(principal, paths)

    return within


async def _read_patch(
    call: Call,
) -> result.Result[patches.Patch, errors.Failure]:
    body = bytearray()
    async for chunk in call.request.stream():
        body += chunk
        if len(body) > patches.MAX_PATCH_BYTES:
            break
    patch = patches.decode(bytes(body))
    if isinstance(patch, result.Ok):
        refused = access.check_pointers(
            call.principal, patches.pointers(patch.ok_value)
        )
        if refused is not None:
            return result.Err(refused)
    return patch


def _visible_changes(
    call: Call, changes: result.Result[list[config.Change], errors.Failure]
) -> Outcome:
    return changes.map(
        lambda found: [access.visible_change(call.principal, c) for c in found]
    )


def _hidden_change(
    principal: access.Principal, change: config.Change
) -> errors.Failure | None:
    in_scope = access.visible_change(principal, change)
    if change.operations and not in_scope.operations:
        return errors.Failure(
            errors.ErrorKind.FORBIDDEN, "The change is outside the scope."
        )
    return None


def _out_of_scope(
    principal: access.Principal, service: str
) -> errors.Failure | None:
    if principal.covers("services", service):
        return None
    return errors.Failure(
        errors.ErrorKind.FORBIDDEN, f"{service} is outside the scope."
    )


def _scope_failure() -> result.Err[errors.Failure]:
    return errors.failed(
        errors.ErrorKind.FORBIDDEN, "Needs all services and members in scope."
    )


def _respond(outcome: Outcome) -> responses.Response:
    if isinstance(outcome, result.Ok):
        return _json(200, outcome.ok_value)
    refused = outcome.err_value
    if isinstance(refused, errors.Failure):
        refused = administration.Rejected(refused)
    answer = refused.failure.response
    view = administration.AdminRefusal(
        errors.refusal(refused.failure, ""),
        refused.current,
        refused.meanwhile,
    )
    return _json(answer.status, view)


def _json(status: int, value: Any) -> responses.Response:
    body = msgspec.json.encode(value)
    return responses.Response(body, status, media_type="application/json")
