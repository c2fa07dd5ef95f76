"""Who may do what: tokens, roles and scopes of operators."""

from collections.abc import Iterable
import hashlib
import hmac
from typing import Literal

import msgspec

from mimosastile_core import config
from mimosastile_core import errors

BOOTSTRAP = "bootstrap"
"""Name of the operator of a deployment that has declared none yet."""

_OPERATIONAL = ("drains", "moves")
"""Fields of a service that the role "operate" may change alone."""

_CLEARED = "/quarantine/cleared/"
"""Where requests are let go again; the role "operate" may do it alone."""

_Role = config.Role
_INCLUDES = {
    _Role.READ: {_Role.READ},
    _Role.PROPOSE: {_Role.READ, _Role.PROPOSE},
    _Role.OPERATE: {_Role.READ, _Role.PROPOSE, _Role.OPERATE},
    _Role.APPROVE: set(_Role),
}
"""What each role allows besides itself."""

Part = Literal["services", "members"]


class Principal(msgspec.Struct, frozen=True):
    """An operator who has shown a token.

    Attributes:
        name: Name in the configuration.
        operator: Roles and scopes.
    """

    name: str
    operator: config.Operator

    def has(self, role: config.Role) -> bool:
        """Whether the operator has a role, or one that includes it."""
        return any(role in _INCLUDES[held] for held in self.operator.roles)

    def covers(self, part: Part, name: str) -> bool:
        """Whether a service or member is in the operator's scope."""
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
    """Returns the hex digest under which a token is declared."""
    return hashlib.sha256(token.encode()).hexdigest()


def identify(
    authorization: str, document: config.Document, bootstrap: str = ""
) -> Principal | None:
    """Returns whose bearer token a request carries, None if nobody's.

    Args:
        authorization: Value of the header.
        document: The configuration in force.
        bootstrap: Digest of a token that counts while the configuration
            declares no operators; empty for none.
    """
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return None
    shown = digest(token.strip())
    found = None
    for name, operator in _candidates(document, bootstrap):
        for declared in operator.tokens:
            # Every digest is compared, each in constant time: an answer that
            # came sooner would tell how much of a guess was right.
            if hmac.compare_digest(declared, shown):
                found = Principal(name, operator)
    return found


def refused_role(
    principal: Principal, paths: Iterable[str]
) -> errors.Failure | None:
    """Says which role is missing to apply a change of paths, if any."""
    role = role_for(paths)
    if principal.has(role):
        return None
    return _forbidden(f"Needs the role {role.value}.")


def refused_paths(
    principal: Principal, paths: Iterable[str]
) -> errors.Failure | None:
    """Says which changed paths are out of scope; None if none is.

    The paths come from comparing the documents before and after, so no way of
    writing a patch gets around this.
    """
    outside = [path for path in paths if not _is_covered(principal, path)]
    if outside:
        return _forbidden("Outside the scope: " + ", ".join(outside))
    return None


def refused_pointers(
    principal: Principal, pointers: Iterable[str]
) -> errors.Failure | None:
    """Says whether a patch reads or writes anything out of scope.

    A test or copy changes nothing out of scope, but its outcome would tell
    what stands there.
    """
    return refused_paths(principal, pointers)


def role_for(paths: Iterable[str]) -> config.Role:
    """Returns the role that is enough to change these paths."""
    operational = all(_is_operational(path) for path in paths)
    return config.Role.OPERATE if operational else config.Role.APPROVE


def visible(principal: Principal, document: config.Document) -> config.Document:
    """Returns what an operator sees of the configuration.

    Services and members of others are left out, and so are the operators:
    their digests would let a reader try tokens at leisure.
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
    """Returns what an operator sees of a change: outside its scope, no values.

    That something changed, where, by whom and why is seen by every operator.
    """
    if all(_is_covered(principal, path) for path in change.paths):
        return change
    return msgspec.structs.replace(change, operations=())


def _candidates(
    document: config.Document, bootstrap: str
) -> Iterable[tuple[str, config.Operator]]:
    if document.operators or not bootstrap:
        return document.operators.items()
    everything = (config.ALL,)
    operator = config.Operator(
        (bootstrap,), tuple(config.Role), everything, everything
    )
    return ((BOOTSTRAP, operator),)


def _is_operational(path: str) -> bool:
    parts = path.split("/")
    return path.startswith(_CLEARED) or (
        len(parts) > 3 and parts[1] == "services" and parts[3] in _OPERATIONAL
    )


def _is_covered(principal: Principal, path: str) -> bool:
    parts = path.split("/")
    if len(parts) > 2 and parts[1] == "services":
        return principal.covers("services", parts[2])
    if len(parts) > 2 and parts[1] == "members":
        return principal.covers("members", parts[2])
    # Operators, and whole sections named by their parents.
    return principal.covers_all


def _forbidden(detail: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.FORBIDDEN, detail)
