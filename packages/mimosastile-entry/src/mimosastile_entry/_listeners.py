"""Listeners service: runs the two HTTP servers of a daemon."""

import asyncio
import contextlib
import resource
import ssl
from typing import Any

from absl import logging

from mimosastile_entry import _asgi
from mimosastile_entry import _auth
from mimosastile_entry import _credentials
from mimosastile_entry import _guard
from mimosastile_entry import _identified
from mimosastile_entry import _operations
from mimosastile_entry import _stop_window
from mimosastile_entry import _tls
from mimosastile_entry import kernel
from mimosastile_entry import serving
from mimosastile_entry import settings

_PREFIX = "listeners:"
_CONNECTION_SHARES = {"callers": 0.55, "peers": 0.2}
"""Shares of the process's descriptors for the connections of each listener. The
rest is for connections to targets, peers and the platform."""


class ListenersService:
    """Runs one server for callers and one for peers and operators."""

    __slots__ = (
        "_aborted",
        "_apps",
        "_listeners",
        "_settings",
        "_signer",
        "_stop_window",
        "name",
        "needs",
    )

    def __init__(
        self, configured: settings.Settings, signer: _auth.Signer
    ) -> None:
        """Initializes the service.

        Args:
            configured: The daemon's settings.
            signer: Verifies the signatures of peer requests.
        """
        self._signer = signer
        self.name = "listeners"
        self.needs: tuple[str, ...] = (
            "router",
            "state",
            "clock",
            "configuration",
            "access",
            "audit",
            "tls",
        )
        self._settings = configured
        self._apps: list[_asgi.CallersApp | _asgi.ForwardApp] = []
        self._stop_window: _stop_window.StopWindow | None = None
        self._aborted = asyncio.Event()
        self._listeners: dict[str, serving.Listener] = {}

    @property
    def ports(self) -> dict[str, int]:
        """Bound ports by server: "callers" and "peers"."""
        return {side: at.port for side, at in self._listeners.items()}

    def app(self, side: str) -> _asgi.App:
        """Returns a server's application, for benchmarks without sockets."""
        return dict(zip(("callers", "peers"), self._apps, strict=True))[side]

    async def start(self, kernel: kernel.Kernel) -> None:
        """Binds both ports and starts serving."""
        router = kernel.find("router")
        clock = kernel.find("clock")
        limits = self._settings.limits
        state = kernel.find("state")
        credentials = _credentials.Credentials(state)
        window = self._stop_window = _stop_window.StopWindow(state, clock)
        callers = _asgi.CallersApp(router, clock, limits, window, credentials)
        forward = _asgi.ForwardApp(router, clock, limits, window)
        internal = _identified.Identified(
            _guard.Guard(_operations.application(kernel, forward), self._signer)
        )
        if not self._signer.enabled:
            logging.warning("%s peers are not authenticated.", _PREFIX)
        self._apps = [callers, forward]
        vm = self._settings.vm
        tls: _tls.TlsService = kernel.find("tls")
        await self._serve("peers", internal, vm.peer_port, tls.server("peers"))
        await self._serve("callers", callers, vm.port, tls.server("callers"))

    async def give_notice(self) -> None:
        """Fails health checks and keeps listening for the notice period.

        Closing immediately would refuse callers that the external load
        balancer still sends here until it detects the failed health check.
        """
        limits = self._settings.limits
        self._begin_stop(limits.notice_seconds + limits.shutdown_seconds)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.limits.notice_seconds):
                await self._aborted.wait()

    def abort(self) -> None:
        """Ends the notice period and the wait for requests in flight."""
        self._aborted.set()
        for listener in self._listeners.values():
            listener.abort()

    async def stop(self) -> None:
        """Drains requests in flight and closes both servers.

        Peers are served until the last caller has received its response.
        """
        self._begin_stop(self._settings.limits.shutdown_seconds)
        for side in ("callers", "peers"):
            if side in self._listeners:
                await self._listeners[side].stop()

    def _begin_stop(self, seconds: float) -> None:
        """Closes connections after responses, refuses what would take longer.

        Args:
            seconds: Longest time until requests in flight are cancelled.
        """
        for app in self._apps:
            app.begin_stop()
        if self._stop_window is not None:
            self._stop_window.begin(seconds)

    def dump(self) -> dict[str, Any]:
        """Returns the bound ports and the requests in flight."""
        return {
            "ports": self.ports,
            "in_flight": {
                side: at.in_flight for side, at in self._listeners.items()
            },
        }

    async def _serve(
        self,
        side: str,
        app: _asgi.App,
        port: int,
        tls: ssl.SSLContext | None,
    ) -> None:
        limits = self._settings.limits
        listener = await serving.listen(
            app,
            self._settings.vm.host,
            port,
            limits.shutdown_seconds,
            # The limit of a head covers the request line and the headers.
            limits.header_bytes + limits.url_bytes,
            limits.head_seconds,
            tls,
            limits.stall_seconds,
            limits.waiting_head_bytes,
            getattr(limits, f"{side}_connections")
            or int(_descriptors() * _CONNECTION_SHARES[side]),
        )
        self._listeners[side] = listener
        logging.info(
            "%s listening for %s on port %d.", _PREFIX, side, listener.port
        )


def _descriptors() -> int:
    """Returns how many descriptors this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
