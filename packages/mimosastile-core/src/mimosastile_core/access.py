"""Authentication and authorization of operators: tokens, roles, scopes."""

from collections.abc import Iterable
import hashlib
import hmac
from typing import Literal

import msgspec

from mimosastile_core import config
from mimosastile_core import errors

BOOTSTRAP_OPERATOR = "bootstrap"
"""Name of the operator while the configuration declares no operators."""

_OPERATIONAL_FIELDS = ("drains", "moves")
"""Fields of a service that the role "operate" is enough to change."""

_CLEARED_PATH_PREFIX = "/quarantine/cleared/"
"""JSON pointer prefix of requests released from quarantine; the role "operate"
is enough to change them."""

_Role = config.Role
_INCLUDED_ROLES = {
    _Role.READ: {_Role.READ},
    _Role.PROPOSE: {_Role.READ, _Role.PROPOSE},
    _Role.OPERATE: {_Role.READ, _Role.PROPOSE, _Role.OPERATE},
    _Role.APPROVE: set(_Role),
}
"""Roles that each role includes, itself among them."""

Part = Literal["services", "members"]


class Principal(msgspec.Struct, frozen=True):
    """An operator authenticated by a token.

    Attributes:
        name: Name in the configuration.
        operator: Roles and scopes.
    """

    name: str
    operator: config.Operator

    def has(self, role: config.Role) -> bool:
        """Whether the operator has the role or one that includes it."""
        return any(
            role in _INCLUDED_ROLES[held] for held in self.operator.roles
        )

    def covers(self, part: Part, name: str) -> bool:
        """Whether the named service or member is in the operator's scope."""
        scope = (
            self.operator.services
            if part == "services"
            else self.operator.members
        )
        return config.ALL in scope or name in scope

    @property
    def covers_all(self) -> bool:
        """Whether every service and every member is in scope."""
        both = (self.operator.services, self.operator.members)
        return all(config.ALL in scope for scope in both)


def digest(token: str) -> str:
    """Returns the SHA-256 hex digest by which a token is configured."""
    return hashlib.sha256(token.encode()).hexdigest()


def identify(
    authorization: str, document: config.Document, bootstrap: str = ""
) -> Principal | None:
    """Returns the operator of a request's bearer token, None if not valid.

    Args:
        authorization: Value of the Authorization header.
        document: The configuration in force.
        bootstrap: Digest of a token that is valid while the configuration
            declares no operators; empty for none.
    """
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return None
    presented = digest(token.strip())
    principal = None
    for name, operator in _declared_operators(document, bootstrap):
        for declared in operator.tokens:
            # Every digest is compared, each in constant time: the response
            # time must not reveal how much of a guess was right.
            if hmac.compare_digest(declared, presented):
                principal = Principal(name, operator)
    return principal


def check_role(
    principal: Principal, paths: Iterable[str]
) -> errors.Failure | None:
    """Checks that the principal's role allows changing the paths.

    Returns:
        None if it does, else a failure that names the missing role.
    """
    role = required_role(paths)
    if principal.has(role):
        return None
    return _forbidden(f"Needs the role {role.value}.")


def check_paths(
    principal: Principal, paths: Iterable[str]
) -> errors.Failure | None:
    """Checks that all changed paths are in the principal's scope.

    The paths come from comparing the documents before and after the patch, so
    the form of a patch cannot bypass the check.

    Returns:
        None if they are, else a failure that names the other paths.
    """
    outside = [path for path in paths if not _is_covered(principal, path)]
    if outside:
        return _forbidden("Outside the scope: " + ", ".join(outside))
    return None


def check_pointers(
    principal: Principal, pointers: Iterable[str]
) -> errors.Failure | None:
    """Checks that a patch reads and writes only within scope.

    A test or copy changes nothing out of scope, but its outcome would reveal
    values there.

    Returns:
        None if it does, else a failure that names the other pointers.
    """
    return check_paths(principal, pointers)


def required_role(paths: Iterable[str]) -> config.Role:
    """Returns the lowest role that may change these paths."""
    operational = all(_is_operational(path) for path in paths)
    return config.Role.OPERATE if operational else config.Role.APPROVE


def visible_document(
    principal: Principal, document: config.Document
) -> config.Document:
    """Returns the part of the configuration that an operator may read.

    Services and members out of scope are left out. So are the operators:
    their token digests would allow an offline guessing attack.
    """
    if principal.covers_all:
        return document
    return msgspec.structs.replace(
        document,
        services={
            name: service
            for name, service in document.services.items()
            if principal.covers("services", name)
        },
        members={
            name: member
            for name, member in document.members.items()
            if principal.covers("members", name)
        },
        operators={},
    )


def visible_change(
    principal: Principal, change: config.Change
) -> config.Change:
    """Returns a change without operations if any path is out of scope.

    The paths, the author and the reason are visible to every operator.
    """
    if all(_is_covered(principal, path) for path in change.paths):
        return change
    return msgspec.structs.replace(change, operations=())


def _declared_operators(
    document: config.Document, bootstrap: str
) -> Iterable[tuple[str, config.Operator]]:
    if document.operators or not bootstrap:
        return document.operators.items()
    everything = (config.ALL,)
    operator = config.Operator(
        (bootstrap,), tuple(config.Role), everything, everything
    )
    return ((BOOTSTRAP_OPERATOR, operator),)


def _is_operational(path: str) -> bool:
    parts = path.split("/")
    return path.startswith(_CLEARED_PATH_PREFIX) or (
        len(parts) > 3
        and parts[1] == "services"
        and parts[3] in _OPERATIONAL_FIELDS
    )


def _is_covered(principal: Principal, path: str) -> bool:
    parts = path.split("/")
    if len(parts) > 2 and parts[1] == "services":
        return principal.covers("services", parts[2])
    if len(parts) > 2 and parts[1] == "members":
        return principal.covers("members", parts[2])
    # Operators, and paths that name a whole section.
    return principal.covers_all


def _forbidden(detail: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.FORBIDDEN, detail)
