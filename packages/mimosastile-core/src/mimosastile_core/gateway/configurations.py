"""Versions of the configuration, and what has changed between two of them.

A configuration of a thousand routes is thirty kilobytes even when it is
compressed, and operators change it several times a second at times. Telling a
hundred VMs the whole of each version fills a narrow link between regions for
seconds: VMs beyond it serve by an old version, and requests that cross it
wait. What one version changes is a few hundred bytes.
"""

import msgspec

from mimosastile_core.gateway import routes

# A field of the same name hides the module in a class body.
_Route = routes.Route
_Service = routes.Service
_Limits = routes.CallerLimits


class Change(msgspec.Struct, frozen=True):
    """What turns one version into another.

    Attributes:
        base: Version that it applies to.
        version: Version that it makes.
        routes: New routes and those that differ.
        removed: Names of routes that are gone.
        services: All services, None if they are as before.
        limits: Bounds on callers, None if they are as before.
    """

    base: int
    version: int
    routes: tuple[_Route, ...] = ()
    removed: tuple[str, ...] = ()
    services: dict[str, _Service] | None = None
    limits: _Limits | None = None


def change(
    old: routes.Configuration, new: routes.Configuration
) -> Change | None:
    """Returns what changed between two versions.

    Returns:
        The change; None if it cannot be told, as when two routes share a name
        or their order has changed.
    """
    known = {route.name: route for route in old.routes}
    wanted = {route.name: route for route in new.routes}
    if len(known) < len(old.routes):
        return None
    made = Change(
        old.version,
        new.version,
        tuple(r for r in new.routes if known.get(r.name) != r),
        tuple(name for name in known if name not in wanted),
        None if old.services == new.services else new.services,
        None if old.limits == new.limits else new.limits,
    )
    return made if apply(old, made) == new else None


def apply(
    known: routes.Configuration, told: Change
) -> routes.Configuration | None:
    """Returns a configuration after a change, None if it has another base."""
    if known.version != told.base:
        return None
    found = {route.name: route for route in known.routes}
    for name in told.removed:
        found.pop(name, None)
    # A route that differs keeps its place; a new one goes to the end.
    found.update((route.name, route) for route in told.routes)
    return routes.Configuration(
        told.version,
        tuple(found.values()),
        known.services if told.services is None else told.services,
        known.limits if told.limits is None else told.limits,
    )


class History:
    """The newest configuration and the versions before it.

    Attributes:
        present: The newest one, None before the first.
    """

    __slots__ = ("_changes", "_former", "_kept", "present")

    def __init__(self, kept: int) -> None:
        """Makes an empty one.

        Args:
            kept: Earlier versions that are kept, to tell others what has
                changed since; whoever is further behind gets the whole.
        """
        self._kept = kept
        self._former: dict[int, routes.Configuration] = {}
        self._changes: dict[int, Change | None] = {}
        self.present: routes.Configuration | None = None

    def take(self, new: routes.Configuration) -> bool:
        """Takes a configuration unless one as new is known."""
        known = self.present
        if known is not None:
            if new.version <= known.version:
                return False
            self._former[known.version] = known
            new = _shared(known, new)
        while len(self._former) > self._kept:
            del self._former[next(iter(self._former))]
        self._changes = {}
        self.present = new
        return True

    def since(self, version: int) -> routes.Configuration | Change | None:
        """Returns what someone needs who knows a version.

        Args:
            version: Version that they know, -1 for none.

        Returns:
            The newest configuration or what has changed since; None if they
            have it.
        """
        present = self.present
        if present is None or version >= present.version:
            return None
        old = self._former.get(version)
        if old is None:
            return present
        if version not in self._changes:
            # Many VMs know the same version; it is compared once.
            self._changes[version] = change(old, present)
        return self._changes[version] or present


def _shared(
    old: routes.Configuration, new: routes.Configuration
) -> routes.Configuration:
    """Returns a new version with equal routes taken from the old one.

    Kept versions then cost the memory of what differs between them.
    """
    known = {route.name: route for route in old.routes}
    return msgspec.structs.replace(
        new,
        routes=tuple(
            same if (same := known.get(route.name)) == route else route
            for route in new.routes
        ),
    )
