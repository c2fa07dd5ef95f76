"""Oracle that checks the guarantees against observations of a scenario.

It observes the system from outside: executions on targets, slices that targets
would serve, version numbers that daemons hold, and responses to callers. It
does not depend on how the daemons decide.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import enum
import itertools
import json

import msgspec

from mimosastile_standins import target
from mimosastile_standins import world

_DRAIN_SECONDS = 3.0
_OK = 200


class Guarantee(enum.Enum):
    """Guarantees to users."""

    SOLE_OWNER = "sole owner"
    ASSIGNMENT_KEPT = "assignment kept"
    OWN_WHOLE_ANSWER = "own whole answer"
    NOT_RUN_IS_TRUE = "not run is true"
    AT_MOST_ONCE = "at most once"
    LEAVING_GETS_NO_WORK = "leaving gets no work"
    GRACEFUL_STOP = "graceful stop"
    CONFIG_FORWARD = "configuration forward"


class Violation(msgspec.Struct, frozen=True):
    """A violated guarantee.

    Attributes:
        guarantee: The guarantee.
        at: Seconds since the start of the load.
        detail: Description of the observation.
    """

    guarantee: Guarantee = msgspec.field(name="promise")
    at: float
    detail: str


class CallRecord(msgspec.Struct, frozen=True):
    """A request as observed by its caller.

    Attributes:
        request_id: Identifier, unique in the scenario.
        method: HTTP method.
        path: Path.
        key: Key, empty for a service that is not sharded.
        began: Loop time at which it was sent.
        ended: Loop time at which the response was complete.
        status: Status; `world.BROKEN` for a broken connection.
        body: Body of the response.
        entry: Entry VM that received the request.
    """

    request_id: str
    method: str
    path: str
    key: str
    began: float
    ended: float
    status: int
    body: bytes
    entry: str

    @property
    def good(self) -> bool:
        """Whether the request succeeded."""
        return self.status == _OK


class Oracle:
    """Records observations and reports violations of guarantees."""

    __slots__ = (
        "_calls",
        "_config_numbers",
        "_executions",
        "_fences",
        "_leaving",
        "_now",
        "_reported",
        "_stopped",
        "_table_versions",
        "_violations",
        "_world",
    )

    def __init__(self, observed: world.World, now: Callable[[], float]) -> None:
        """Starts to observe a world.

        Args:
            observed: The world.
            now: Returns the seconds since the start of the load.
        """
        self._world = observed
        self._now = now
        self._violations: list[Violation] = []
        self._reported: set[tuple[Guarantee, str]] = set()
        self._executions: dict[str, list[target.Execution]] = (
            collections.defaultdict(list)
        )
        self._calls: list[CallRecord] = []
        self._fences: dict[int, target.Execution] = {}
        self._leaving: dict[str, float] = {}
        self._stopped: set[str] = set()
        self._config_numbers: dict[int, int] = {}
        self._table_versions: dict[tuple[int, str, int], int] = {}

    @property
    def violations(self) -> list[Violation]:
        """Violations, one per guarantee and subject."""
        return self._violations

    @property
    def calls(self) -> list[CallRecord]:
        """Completed calls."""
        return self._calls

    def watch(self, observed: target.Target) -> None:
        """Observes executions on a target."""
        observed.observer = self._on_execution

    def record_call(self, record: CallRecord) -> None:
        """Records a completed call."""
        self._calls.append(record)

    def leaving(self, vm: str) -> None:
        """Records that a VM was marked as leaving.

        The time limit starts when the list shows the mark to its readers, as
        no daemon can observe it earlier.
        """
        visible_at = self._now() + self._world.fleet.lag
        self._leaving.setdefault(vm, visible_at)

    def tick(self) -> None:
        """Checks the slices of targets and the version numbers of daemons."""
        self._check_owners()
        for kernel in self._world.daemons.values():
            self._check_forward(kernel)

    def finish(self) -> list[Violation]:
        """Runs the checks that need all calls to have ended.

        Returns:
            All violations.
        """
        for record in self._calls:
            self._check_call(record)
        return self._violations

    def stopping(self, vm: str) -> None:
        """Records the start of a daemon's graceful stop."""
        self._stopped.add(vm)

    def killed(self, vm: str) -> None:
        """Records a daemon's kill, which excuses broken connections."""
        self._stopped.discard(vm)

    def _add_violation(
        self, guarantee: Guarantee, subject: str, detail: str
    ) -> None:
        if (guarantee, subject) not in self._reported:
            self._reported.add((guarantee, subject))
            self._violations.append(Violation(guarantee, self._now(), detail))

    def _on_execution(self, execution: target.Execution) -> None:
        self._executions[execution.request_id].append(execution)
        self._check_leaving(execution)
        if execution.position is None or not execution.fence:
            return
        self._check_owners()
        last = self._fences.get(execution.position)
        if last is not None and execution.fence < last.fence:
            self._add_violation(
                Guarantee.SOLE_OWNER,
                f"{execution.position}",
                f"{execution.target} executed with fence {execution.fence}"
                f" after {last.target} executed with fence {last.fence}"
                " for the same key",
            )
        if last is None or execution.fence >= last.fence:
            self._fences[execution.position] = execution

    def _check_leaving(self, execution: target.Execution) -> None:
        since = self._leaving.get(execution.target)
        if since is not None and self._now() > since + _DRAIN_SECONDS:
            self._add_violation(
                Guarantee.LEAVING_GETS_NO_WORK,
                execution.target,
                f"{execution.target} received a request"
                f" {self._now() - since:.1f} s after it was listed as leaving",
            )

    def _check_owners(self) -> None:
        by_service: dict[str, list[tuple[int, int, str]]] = {}
        for vm, serving in self._world.targets.items():
            service = vm.rpartition("-")[0]
            by_service.setdefault(service, []).extend(
                (s.first, s.last, vm) for s in serving.served()
            )
        for ranges in by_service.values():
            for low, high in _overlaps(ranges):
                self._add_violation(
                    Guarantee.SOLE_OWNER,
                    f"{low[2]}/{high[2]}",
                    f"{low[2]} and {high[2]} both own {high[0]:x}",
                )

    def _check_forward(self, kernel: object) -> None:
        state = kernel.find("state")  # type: ignore[attr-defined]
        number = state.replica.config.number
        if number < self._config_numbers.get(id(kernel), 0):
            self._add_violation(
                Guarantee.CONFIG_FORWARD,
                str(id(kernel)),
                f"a daemon reverted to configuration {number}",
            )
        self._config_numbers[id(kernel)] = number
        for at, block in state.replica.blocks.items():
            key = (id(kernel), at.service, at.index)
            if block.version < self._table_versions.get(key, 0):
                self._add_violation(
                    Guarantee.ASSIGNMENT_KEPT,
                    f"{key}",
                    f"a daemon reverted to version {block.version} of {at}",
                )
            self._table_versions[key] = block.version

    def _check_call(self, record: CallRecord) -> None:
        executions = self._executions.get(record.request_id, [])
        if record.method != "GET" and len(executions) > 1:
            self._add_violation(
                Guarantee.AT_MOST_ONCE,
                record.request_id,
                f"{record.method} {record.path} executed"
                f" {len(executions)} times",
            )
        if record.status == world.BROKEN and record.entry in self._stopped:
            self._add_violation(
                Guarantee.GRACEFUL_STOP,
                record.request_id,
                f"{record.path} was cut off by the stop of {record.entry}",
            )
        if record.good:
            self._check_response(record, executions)
        elif (
            record.status != world.BROKEN
            and executions
            and _guarantees_not_executed(record)
        ):
            self._add_violation(
                Guarantee.NOT_RUN_IS_TRUE,
                record.request_id,
                f"{record.path} was refused as not executed but executed on"
                f" {executions[0].target}",
            )

    def _check_response(
        self, record: CallRecord, executions: list[target.Execution]
    ) -> None:
        response = json.loads(record.body)
        executed_there = any(
            execution.target == response["target"] for execution in executions
        )
        if response["request_id"] != record.request_id or not executed_there:
            self._add_violation(
                Guarantee.OWN_WHOLE_ANSWER,
                record.request_id,
                f"{record.path} got the response to {response['request_id']}",
            )


def _guarantees_not_executed(record: CallRecord) -> bool:
    return bool(json.loads(record.body)["ran"] == "no")


def _overlaps(
    ranges: Iterable[tuple[int, int, str]],
) -> Iterable[tuple[tuple[int, int, str], tuple[int, int, str]]]:
    """Returns pairs of ranges, adjacent by first hash, that overlap."""
    ordered = sorted(ranges)
    return (
        (low, high)
        for low, high in itertools.pairwise(ordered)
        if low[1] >= high[0] and low[2] != high[2]
    )
