"""Versions of the configuration, and the changes between two of them.

A configuration of a thousand routes is thirty kilobytes even when compressed,
and operators sometimes change it several times a second. Sending each version
whole to a hundred VMs fills a narrow link between regions for seconds: VMs
beyond it serve by an old version, and requests that cross it are delayed. The
changes of one version are a few hundred bytes.
"""

import msgspec

from mimosastile_core.gateway import routes

# A field of the same name hides the module in a class body.
_Route = routes.Route
_Service = routes.Service
_Limits = routes.CallerLimits


class Change(msgspec.Struct, frozen=True):
    """The changes from one version to another.

    Attributes:
        base: Version to which it applies.
        version: Version that results.
        routes: Routes that are new or differ.
        removed: Names of removed routes.
        services: All services, None if they are unchanged.
        limits: Limits for callers, None if they are unchanged.
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
    """Returns the changes between two versions.

    Returns:
        The change; None if it cannot be expressed, for example if two routes
        share a name or their order has changed.
    """
    old_routes = {route.name: route for route in old.routes}
    new_routes = {route.name: route for route in new.routes}
    if len(old_routes) < len(old.routes):
        return None
    result = Change(
        old.version,
        new.version,
        tuple(r for r in new.routes if old_routes.get(r.name) != r),
        tuple(name for name in old_routes if name not in new_routes),
        None if old.services == new.services else new.services,
        None if old.limits == new.limits else new.limits,
    )
    return result if apply(old, result) == new else None


def apply(
    current: routes.Configuration, update: Change
) -> routes.Configuration | None:
    """Returns a configuration after a change, None if it has another base."""
    if current.version != update.base:
        return None
    by_name = {route.name: route for route in current.routes}
    for name in update.removed:
        by_name.pop(name, None)
    # A route that differs keeps its position; a new one goes to the end.
    by_name.update((route.name, route) for route in update.routes)
    return routes.Configuration(
        update.version,
        tuple(by_name.values()),
        current.services if update.services is None else update.services,
        current.limits if update.limits is None else update.limits,
    )


class History:
    """The newest configuration and the versions before it.

    Attributes:
        present: The newest configuration, None before the first.
    """

    __slots__ = ("_changes", "_earlier", "_max_earlier", "present")

    def __init__(self, max_earlier: int) -> None:
        """Creates an empty history.

        Args:
            max_earlier: Number of earlier versions to keep, from which changes
                can be computed. A VM with an older version gets the whole
                configuration.
        """
        self._max_earlier = max_earlier
        self._earlier: dict[int, routes.Configuration] = {}
        self._changes: dict[int, Change | None] = {}
        self.present: routes.Configuration | None = None

    def add(self, new: routes.Configuration) -> bool:
        """Stores a configuration unless the present one is as new.

        Returns:
            Whether it was stored.
        """
        present = self.present
        if present is not None:
            if new.version <= present.version:
                return False
            self._earlier[present.version] = present
            new = _sharing_routes(present, new)
        while len(self._earlier) > self._max_earlier:
            del self._earlier[next(iter(self._earlier))]
        self._changes = {}
        self.present = new
        return True

    def since(self, version: int) -> routes.Configuration | Change | None:
        """Returns the update for a VM that has a given version.

        Args:
            version: Version that the VM has, -1 for none.

        Returns:
            The newest configuration or the changes since that version; None if
            the VM is up to date.
        """
        present = self.present
        if present is None or version >= present.version:
            return None
        old = self._earlier.get(version)
        if old is None:
            return present
        if version not in self._changes:
            # Many VMs have the same version; the change is computed once.
            self._changes[version] = change(old, present)
        return self._changes[version] or present


def _sharing_routes(
    old: routes.Configuration, new: routes.Configuration
) -> routes.Configuration:
    """Returns a new version that reuses equal routes of the old one.

    Each kept version then costs only the memory of its differences.
    """
    old_routes = {route.name: route for route in old.routes}
    return msgspec.structs.replace(
        new,
        routes=tuple(
            same if (same := old_routes.get(route.name)) == route else route
            for route in new.routes
        ),
    )
