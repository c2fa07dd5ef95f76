"""The oracle: what must hold, checked against what happened.

It looks at the stand-ins from outside: runs on targets, slices that targets
would serve, numbers that daemons hold, answers that callers got. It knows
nothing of how the daemons decide.
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

_LEAVE_SECONDS = 3.0
_OK = 200


class Promise(enum.Enum):
    """What users are promised."""

    SOLE_OWNER = "sole owner"
    ASSIGNMENT_KEPT = "assignment kept"
    OWN_WHOLE_ANSWER = "own whole answer"
    NOT_RUN_IS_TRUE = "not run is true"
    AT_MOST_ONCE = "at most once"
    LEAVING_GETS_NO_WORK = "leaving gets no work"
    GRACEFUL_STOP = "graceful stop"
    CONFIG_FORWARD = "configuration forward"


class Violation(msgspec.Struct, frozen=True):
    """A broken promise.

    Attributes:
        promise: Which.
        at: Seconds after the load began.
        detail: What was seen.
    """

    promise: Promise
    at: float
    detail: str


class CallRecord(msgspec.Struct, frozen=True):
    """One request as its caller saw it.

    Attributes:
        request_id: Identifier, unique in the scenario.
        method: HTTP method.
        path: Path.
        key: Key, empty for a service not divided by key.
        began: Loop time at which it was sent.
        ended: Loop time at which its answer was whole.
        status: Status; `world.BROKEN` for a broken connection.
        body: The answer.
        entry: Entry VM that it was sent to.
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
        """Whether the request was answered as asked."""
        return self.status == _OK


class Oracle:
    """Collects observations and judges them."""

    __slots__ = (
        "_calls",
        "_config_numbers",
        "_executions",
        "_fences",
        "_leaving",
        "_now",
        "_seen",
        "_stopped",
        "_table_versions",
        "_violations",
        "_world",
    )

    def __init__(self, observed: world.World, now: Callable[[], float]) -> None:
        """Begins to observe.

        Args:
            observed: The world.
            now: Returns seconds since the load began.
        """
        self._world = observed
        self._now = now
        self._violations: list[Violation] = []
        self._seen: set[tuple[Promise, str]] = set()
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
        """Every broken promise, each sort once per thing concerned."""
        return self._violations

    @property
    def calls(self) -> list[CallRecord]:
        """Every finished call."""
        return self._calls

    def watch(self, run: target.Target) -> None:
        """Observes the runs on a target."""
        run.observer = self._on_execution

    def call_ended(self, record: CallRecord) -> None:
        """Takes what a caller saw."""
        self._calls.append(record)

    def leaving(self, vm: str) -> None:
        """Notes that a VM was marked as leaving.

        Its time runs from when readers of the list can see that: a mark that
        the list does not show yet is known to nobody.
        """
        seen = self._now() + self._world.fleet.lag
        self._leaving.setdefault(vm, seen)

    def tick(self) -> None:
        """Looks at what targets would serve and what daemons hold."""
        self._check_holdings()
        for made in self._world.daemons.values():
            self._check_forward(made)

    def finish(self) -> list[Violation]:
        """Judges what can be judged at the end only.

        Returns:
            All violations.
        """
        for record in self._calls:
            self._check_call(record)
        return self._violations

    def stopping(self, vm: str) -> None:
        """Notes that a daemon is stopped gracefully from now on."""
        self._stopped.add(vm)

    def killed(self, vm: str) -> None:
        """Notes that a daemon is ended; what it cuts off is no stop's fault."""
        self._stopped.discard(vm)

    def _broken(self, promise: Promise, subject: str, detail: str) -> None:
        if (promise, subject) not in self._seen:
            self._seen.add((promise, subject))
            self._violations.append(Violation(promise, self._now(), detail))

    def _on_execution(self, run: target.Execution) -> None:
        self._executions[run.request_id].append(run)
        self._check_leaving(run)
        if run.position is None or not run.fence:
            return
        self._check_holdings()
        last = self._fences.get(run.position)
        if last is not None and run.fence < last.fence:
            self._broken(
                Promise.SOLE_OWNER,
                f"{run.position}",
                f"{run.target} ran fence {run.fence} after {last.target} had"
                f" run fence {last.fence} of the same key",
            )
        if last is None or run.fence >= last.fence:
            self._fences[run.position] = run

    def _check_leaving(self, run: target.Execution) -> None:
        since = self._leaving.get(run.target)
        if since is not None and self._now() > since + _LEAVE_SECONDS:
            self._broken(
                Promise.LEAVING_GETS_NO_WORK,
                run.target,
                f"{run.target} got work {self._now() - since:.1f} s after it"
                " was listed as leaving",
            )

    def _check_holdings(self) -> None:
        by_service: dict[str, list[tuple[int, int, str]]] = {}
        for vm, run in self._world.targets.items():
            service = vm.rpartition("-")[0]
            by_service.setdefault(service, []).extend(
                (s.first, s.last, vm) for s in run.served()
            )
        for ranges in by_service.values():
            for low, high in _overlaps(ranges):
                self._broken(
                    Promise.SOLE_OWNER,
                    f"{low[2]}/{high[2]}",
                    f"{low[2]} and {high[2]} both hold {high[0]:x}",
                )

    def _check_forward(self, made: object) -> None:
        state = made.find("state")  # type: ignore[attr-defined]
        number = state.replica.config.number
        if number < self._config_numbers.get(id(made), 0):
            self._broken(
                Promise.CONFIG_FORWARD,
                str(id(made)),
                f"a daemon went back to configuration {number}",
            )
        self._config_numbers[id(made)] = number
        for at, block in state.replica.blocks.items():
            key = (id(made), at.service, at.index)
            if block.version < self._table_versions.get(key, 0):
                self._broken(
                    Promise.ASSIGNMENT_KEPT,
                    f"{key}",
                    f"a daemon went back to version {block.version} of {at}",
                )
            self._table_versions[key] = block.version

    def _check_call(self, record: CallRecord) -> None:
        runs = self._executions.get(record.request_id, [])
        if record.method != "GET" and len(runs) > 1:
            self._broken(
                Promise.AT_MOST_ONCE,
                record.request_id,
                f"{record.method} {record.path} ran {len(runs)} times",
            )
        if record.status == world.BROKEN and record.entry in self._stopped:
            self._broken(
                Promise.GRACEFUL_STOP,
                record.request_id,
                f"{record.path} was cut off by the stop of {record.entry}",
            )
        if record.good:
            self._check_answer(record, runs)
        elif record.status != world.BROKEN and runs and _says_not_run(record):
            self._broken(
                Promise.NOT_RUN_IS_TRUE,
                record.request_id,
                f"{record.path} was refused as not run and ran on"
                f" {runs[0].target}",
            )

    def _check_answer(
        self, record: CallRecord, runs: list[target.Execution]
    ) -> None:
        answer = json.loads(record.body)
        ran_there = any(run.target == answer["target"] for run in runs)
        if answer["request_id"] != record.request_id or not ran_there:
            self._broken(
                Promise.OWN_WHOLE_ANSWER,
                record.request_id,
                f"{record.path} got the answer of {answer['request_id']}",
            )


def _says_not_run(record: CallRecord) -> bool:
    return bool(json.loads(record.body)["ran"] == "no")


def _overlaps(
    ranges: Iterable[tuple[int, int, str]],
) -> Iterable[tuple[tuple[int, int, str], tuple[int, int, str]]]:
    """Yields neighbours, by first hash, of which one reaches into the next."""
    ordered = sorted(ranges)
    return (
        (low, high)
        for low, high in itertools.pairwise(ordered)
        if low[1] >= high[0] and low[2] != high[2]
    )
