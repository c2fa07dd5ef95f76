"""A stand-in for a target that executes requests and accepts grants."""

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
    """One execution of a request on a target.

    Attributes:
        target: The target.
        request_id: Request identifier set by the router.
        method: HTTP method.
        path: Path of the request.
        position: Hash of its key, None if the request carried no fence.
        fence: Fence of the request, 0 if it carried none.
        began: Loop time at which the execution began.
    """

    target: str
    request_id: str
    method: str
    path: str
    position: int | None
    fence: int
    began: float


class Outcome(msgspec.Struct, frozen=True):
    """Response of a target.

    Attributes:
        refused: Reason why the request was not executed, None if it was.
        body: Body of the response.
    """

    refused: errors.ErrorKind | None
    body: bytes = b""


# Inside the class, the property `holder` shadows the module `holder`.
RequestFence = holder.RequestFence
HeldSlice = grants.HeldSlice
_TIME_BEFORE_EXPIRY = 0.0
DEADLY = "/deadly"
"""Path suffix of requests that crash each target that executes them."""


class CrashedError(Exception):
    """The target crashed before it responded."""


class Target:
    """A target that can be crashed, restarted, frozen and thawed.

    Attributes:
        id: The VM's identifier.
        service_time: Execution time of a request in seconds.
        draining: Whether it refuses new requests.
        checks_orders: Whether it refuses requests without a valid grant.
        checks_expiry: Whether it refuses requests after its grant expired.
        deadly_crashes: Number of crashes caused by deadly requests.
        executions: All executions in the order of their start.
        observer: Called with each execution as it begins, or None.
        sheds: Decides for each request whether it is refused as too much.
    """

    __slots__ = (
        "_thawed",
        "_clock_offset",
        "_counts",
        "_crashed",
        "_holder",
        "_incarnations",
        "checks_expiry",
        "checks_orders",
        "deadly_crashes",
        "draining",
        "executions",
        "id",
        "observer",
        "service_time",
        "sheds",
    )

    def __init__(
        self,
        id: str,
        service_time: float = 0.002,
        checks_orders: bool = True,
        clock_offset: float = 1000.0,
    ) -> None:
        """Starts the target's first incarnation, which holds no grants.

        Args:
            id: The VM's identifier.
            service_time: Execution time of a request in seconds.
            checks_orders: Whether it refuses requests without a valid grant.
            clock_offset: Seconds by which its clock is ahead of the loop's, so
                that code that compares the two clocks fails.
        """
        self.id = id
        self.service_time = service_time
        self.draining = False
        self.checks_orders = checks_orders
        self.checks_expiry = checks_orders
        self.deadly_crashes = 0
        self.observer: Callable[[Execution], None] | None = None
        self.sheds: Callable[[], bool] = _sheds_none
        self.executions: list[Execution] = []
        self._clock_offset = clock_offset
        self._incarnations = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._thawed = asyncio.Event()
        self._crashed = False
        self.restart()

    @property
    def holder(self) -> holder.Holder:
        """The grants that the current incarnation holds."""
        return self._holder

    @property
    def crashed(self) -> bool:
        """Whether the target has crashed and not been restarted."""
        return self._crashed

    def now(self) -> float:
        """Returns the target's own clock in seconds."""
        return asyncio.get_running_loop().time() + self._clock_offset

    def restart(self) -> None:
        """Starts a new incarnation without grants or other state."""
        self._incarnations += 1
        self._holder = holder.Holder(f"{self.id}-{self._incarnations}")
        self._counts.clear()
        self._crashed = False
        self._thawed.set()

    def crash(self) -> None:
        """Crashes; pending requests get no response."""
        self._crashed = True
        self._thawed.set()

    def freeze(self) -> None:
        """Suspends all work; incoming requests and grants wait."""
        self._thawed.clear()

    def thaw(self) -> None:
        """Resumes work with its state intact."""
        self._thawed.set()

    async def grant(self, message: grants.Grant) -> grants.GrantReply:
        """Receives a grant and returns the reply.

        Raises:
            CrashedError: The target has crashed.
        """
        await self._wait_while_frozen(self._incarnations)
        return self._holder.receive(message, self.now())

    async def handle(
        self,
        method: str,
        path: str,
        request_id: str,
        fence: RequestFence | None,
    ) -> Outcome:
        """Executes or refuses a request.

        Raises:
            CrashedError: The target crashed before it responded.
        """
        await self._wait_while_frozen(self._incarnations)
        if self.draining:
            return Outcome(errors.ErrorKind.DRAINING)
        if self.sheds():
            return Outcome(errors.ErrorKind.OVERLOADED)
        began, grants_held = self._incarnations, self._holder
        deadly = path.endswith(DEADLY)
        checked_fence = fence if self.checks_orders else None
        if checked_fence is not None:
            refused = grants_held.check(
                checked_fence, self._expiry_check_time()
            )
            if refused is not None:
                return Outcome(refused)
            grants_held.begin(checked_fence)
        try:
            if deadly:
                self.deadly_crashes += 1
                self.crash()
                await self._wait_while_frozen(began)
            return await self._execute(method, path, request_id, fence)
        finally:
            if checked_fence is not None:
                grants_held.end(checked_fence)

    async def _execute(
        self,
        method: str,
        path: str,
        request_id: str,
        fence: RequestFence | None,
    ) -> Outcome:
        incarnation = self._incarnations
        began = asyncio.get_running_loop().time()
        execution = Execution(
            target=self.id,
            request_id=request_id,
            method=method,
            path=path,
            position=fence.position if fence else None,
            fence=fence.fence if fence else 0,
            began=began,
        )
        self.executions.append(execution)
        if self.observer is not None:
            self.observer(execution)
        self._counts[path] += method != "GET"
        await asyncio.sleep(self.service_time)
        await self._wait_while_frozen(incarnation)
        response: dict[str, Any] = {
            "target": self.id,
            "path": path,
            "writes": self._counts[path],
            "request_id": request_id,
        }
        return Outcome(None, json.dumps(response).encode())

    def served(self) -> list[HeldSlice]:
        """Returns the slices whose requests the target accepts now."""
        if self._crashed or not self.checks_orders:
            return []
        return [s for _, s in self._holder.owned(self._expiry_check_time())]

    def _expiry_check_time(self) -> float:
        # Without expiry checks, grants are valid forever: time 0 precedes
        # every expiry.
        return self.now() if self.checks_expiry else _TIME_BEFORE_EXPIRY

    async def _wait_while_frozen(self, incarnation: int) -> None:
        """Waits while the target is frozen.

        Raises:
            CrashedError: The target has crashed or restarted since.
        """
        await self._thawed.wait()
        if self._crashed or self._incarnations != incarnation:
            raise CrashedError(self.id)


def _sheds_none() -> bool:
    """Refuses no request as too much."""
    return False
