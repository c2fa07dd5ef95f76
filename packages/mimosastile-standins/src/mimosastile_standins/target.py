"""A stand-in for a back end that runs requests and accepts fenced grants."""

import asyncio
import collections
from collections.abc import Callable
import json
from typing import Any

import msgspec

from mimosastile_core import errors
from mimosastile_core import grants
from mimosastile_core import holder


class Execution(msgspec.Struct, frozen=True):
    """One run of a request on a target.

    Attributes:
        target: The target.
        request_id: The router's identifier of the request.
        method: HTTP method.
        path: Path of the request.
        position: Hash of its key, None if it came without an order.
        fence: Fence under which it came, 0 without an order.
        began: Loop time at which the run began.
    """

    target: str
    request_id: str
    method: str
    path: str
    position: int | None
    fence: int
    began: float


class Outcome(msgspec.Struct, frozen=True):
    """What a target answers: a refusal that did not run, or a result."""

    refused: errors.ErrorKind | None
    body: bytes = b""


# The property `holder` hides the module of that name inside the class.
RequestFence = holder.RequestFence
HeldSlice = grants.HeldSlice
_NEVER_EXPIRED = 0.0
DEADLY = "/deadly"
"""End of the path of a request that crashes each target that runs it."""


class CrashedError(Exception):
    """The target died; whoever waits for its answer gets none."""


class Target:
    """One run of a back end.

    Attributes:
        id: The VM's identifier.
        service_time: Seconds that a request takes.
        draining: Whether it refuses new work.
        checks_orders: Whether it refuses requests without a valid grant.
        checks_expiry: Whether it refuses requests once its grant has run out.
        deaths: How often a deadly request has crashed it.
        executions: Every run, in order.
        observer: Told of every run as it begins, None for nobody.
    """

    __slots__ = (
        "_alive",
        "_clock_offset",
        "_counts",
        "_crashed",
        "_holder",
        "_incarnations",
        "checks_expiry",
        "checks_orders",
        "deaths",
        "draining",
        "executions",
        "id",
        "observer",
        "service_time",
    )

    def __init__(
        self,
        id: str,
        service_time: float = 0.002,
        checks_orders: bool = True,
        clock_offset: float = 1000.0,
    ) -> None:
        """Starts a target that holds no grant.

        Args:
            id: The VM's identifier.
            service_time: Seconds that a request takes.
            checks_orders: Whether it refuses requests without a valid grant.
            clock_offset: How far its clock is from the loop's, to show that
                nothing compares the two.
        """
        self.id = id
        self.service_time = service_time
        self.draining = False
        self.checks_orders = checks_orders
        self.checks_expiry = checks_orders
        self.deaths = 0
        self.observer: Callable[[Execution], None] | None = None
        self.executions: list[Execution] = []
        self._clock_offset = clock_offset
        self._incarnations = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._alive = asyncio.Event()
        self._crashed = False
        self.restart()

    @property
    def holder(self) -> holder.Holder:
        """The grants that this run holds."""
        return self._holder

    @property
    def crashed(self) -> bool:
        """Whether the target is dead."""
        return self._crashed

    def now(self) -> float:
        """Returns the target's own clock in seconds."""
        return asyncio.get_running_loop().time() + self._clock_offset

    def restart(self) -> None:
        """Begins a new run that has forgotten everything."""
        self._incarnations += 1
        self._holder = holder.Holder(f"{self.id}-{self._incarnations}")
        self._counts.clear()
        self._crashed = False
        self._alive.set()

    def crash(self) -> None:
        """Dies; requests under way get no answer."""
        self._crashed = True
        self._alive.set()

    def freeze(self) -> None:
        """Stops doing anything; what arrives waits in buffers."""
        self._alive.clear()

    def thaw(self) -> None:
        """Goes on as if nothing had happened."""
        self._alive.set()

    async def grant(self, message: grants.Grant) -> grants.GrantReply:
        """Takes a grant.

        Raises:
            CrashedError: The target is dead.
        """
        await self._run(self._incarnations)
        return self._holder.receive(message, self.now())

    async def handle(
        self,
        method: str,
        path: str,
        request_id: str,
        fence: RequestFence | None,
    ) -> Outcome:
        """Runs a request, or refuses it.

        Raises:
            CrashedError: The target died before it answered.
        """
        await self._run(self._incarnations)
        if self.draining:
            return Outcome(errors.ErrorKind.DRAINING)
        began, held = self._incarnations, self._holder
        deadly = path.endswith(DEADLY)
        checked = fence if self.checks_orders else None
        if checked is not None:
            refused = held.check(checked, self._checked_at())
            if refused is not None:
                return Outcome(refused)
            held.begin(checked)
        try:
            if deadly:
                self.deaths += 1
                self.crash()
                await self._run(began)
            return await self._execute(method, path, request_id, fence)
        finally:
            if checked is not None:
                held.end(checked)

    async def _execute(
        self,
        method: str,
        path: str,
        request_id: str,
        fence: RequestFence | None,
    ) -> Outcome:
        incarnation = self._incarnations
        began = asyncio.get_running_loop().time()
        run = Execution(
            target=self.id,
            request_id=request_id,
            method=method,
            path=path,
            position=fence.position if fence else None,
            fence=fence.fence if fence else 0,
            began=began,
        )
        self.executions.append(run)
        if self.observer is not None:
            self.observer(run)
        self._counts[path] += method != "GET"
        await asyncio.sleep(self.service_time)
        await self._run(incarnation)
        answer: dict[str, Any] = {
            "target": self.id,
            "path": path,
            "writes": self._counts[path],
            "request_id": request_id,
        }
        return Outcome(None, json.dumps(answer).encode())

    def served(self) -> list[HeldSlice]:
        """Returns the slices whose requests this target would run now."""
        if self._crashed or not self.checks_orders:
            return []
        return [s for _, s in self._holder.owned(self._checked_at())]

    def _checked_at(self) -> float:
        # A target that does not check the expiry believes its grant for ever.
        return self.now() if self.checks_expiry else _NEVER_EXPIRED

    async def _run(self, incarnation: int) -> None:
        """Waits while frozen; a run that began before a crash is over."""
        await self._alive.wait()
        if self._crashed or self._incarnations != incarnation:
            raise CrashedError(self.id)
