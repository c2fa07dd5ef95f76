"""Which target gets a request of a service that is not divided by key.

The less loaded of two, by what this VM itself has under way and how long
answers took. The zone goes before the region and the region before the link.
Lists and health reports lag and may mislead, so they never empty the set: what
this VM has seen to answer stays in use, and ejection leaves half of it.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math

import msgspec

_SMOOTHING = 0.1
_SLOW_START_SECONDS = 10.0
_COLD_SHARE = 0.1
"""Share of its usual load that a target gets when it is new."""
_FAILURES = 3
"""Failures in a row after which a target is left alone for a while."""
_EJECT_SECONDS = 2.0
_LONGEST_EJECT_SECONDS = 60.0
_EJECTED_SHARE = 0.5
_ANSWERED_SECONDS = 10.0
"""An answer this recent goes before a list that does not name its target."""
_FIRST_SECONDS = 0.01
"""Time that the first answer of an unknown target is expected to take."""

_BUSY = (1.0, 3.0, math.inf)
"""Own requests under way per slot from which on the region is tried instead
of the zone, and all regions instead of the own one: the link is slow and paid
for by volume, so a short queue on this side is better."""


class Place(msgspec.Struct, frozen=True):
    """Where a VM stands."""

    region: str
    zone: str


class Candidate(msgspec.Struct, frozen=True):
    """A target that may be chosen.

    Attributes:
        target: Its identifier.
        place: Where it stands.
        live: Whether the list says that it takes new work.
    """

    target: str
    place: Place
    live: bool = True


class _Score:
    """What this VM has seen of one target."""

    __slots__ = (
        "answered_at",
        "back_at",
        "candidate",
        "ejections",
        "failures",
        "in_flight",
        "seconds",
        "since",
    )

    def __init__(self, candidate: Candidate, since: float) -> None:
        self.candidate = candidate
        self.since = since
        self.in_flight = 0
        self.seconds = _FIRST_SECONDS
        self.failures = 0
        self.ejections = 0
        self.back_at = 0.0
        self.answered_at = float("-inf")

    def cost(self, now: float) -> float:
        """Returns how busy the target is; cold ones count as busier."""
        warm = (now - self.since) / _SLOW_START_SECONDS
        share = min(max(warm, _COLD_SHARE), 1.0)
        return (self.in_flight + 1) * self.seconds / share


class Balancer:
    """Chooses among the targets of one service."""

    __slots__ = ("_ejected_until", "_here", "_pools", "_scores", "_slots")

    def __init__(self, here: Place) -> None:
        """Makes one that knows no targets.

        Args:
            here: Where this VM stands.
        """
        self._here = here
        self._ejected_until = 0.0
        self._slots = 1
        self._scores: dict[str, _Score] = {}
        self._pools: tuple[list[_Score], ...] = ()

    def update(
        self, candidates: Iterable[Candidate], slots: int, now: float
    ) -> None:
        """Takes a new list of targets.

        Args:
            candidates: The targets that can be reached.
            slots: Requests that one target runs at a time.
            now: The time.
        """
        self._slots = slots
        # At the start all are equally cold, so none is held back.
        since = now if self._scores else now - _SLOW_START_SECONDS
        former, self._scores = self._scores, {}
        for candidate in candidates:
            score = former.get(candidate.target)
            if score is None:
                score = _Score(candidate, since)
            score.candidate = candidate
            self._scores[candidate.target] = score
        self._keep_answering(former, now)
        self._pools = self._by_distance()

    def choose(
        self,
        avoid: Collection[str],
        now: float,
        first: float,
        second: float,
    ) -> str | None:
        """Returns the target for a request, None if there is none at all.

        Args:
            avoid: Targets that could not take it just now.
            now: The time.
            first: From 0 to 1, picks the first of two.
            second: From 0 to 1, picks the second of two.
        """
        shunned: set[_Score] | None = None
        if avoid or now < self._ejected_until:
            shunned = self._shunned(avoid, now)
        for pool, factor in zip(self._pools, _BUSY, strict=False):
            usable = pool
            if shunned:
                usable = [s for s in pool if s not in shunned]
            if not usable:
                continue
            best = min(
                usable[int(first * len(usable))],
                usable[int(second * len(usable))],
                key=lambda score: score.cost(now),
            )
            if best.in_flight < self._slots * factor:
                return best.candidate.target
        return self.choose((), now, first, second) if avoid else None

    def begin(self, target: str) -> None:
        """Counts a request in."""
        score = self._scores.get(target)
        if score is not None:
            score.in_flight += 1

    def end(self, target: str) -> None:
        """Counts a request out."""
        score = self._scores.get(target)
        if score is not None and score.in_flight:
            score.in_flight -= 1

    def answered(self, target: str, seconds: float, now: float) -> None:
        """Notes an answer and the time to its beginning."""
        score = self._scores.get(target)
        if score is None:
            return
        score.seconds += (seconds - score.seconds) * _SMOOTHING
        score.failures = 0
        score.ejections = 0
        score.answered_at = now

    def failed(self, target: str, now: float) -> None:
        """Notes that a target was not reached or gave no answer."""
        score = self._scores.get(target)
        if score is None:
            return
        score.failures += 1
        # One that was left alone before is on trial.
        if score.failures >= _FAILURES or score.ejections:
            pause = _EJECT_SECONDS * 2**score.ejections
            score.back_at = now + min(pause, _LONGEST_EJECT_SECONDS)
            self._ejected_until = max(self._ejected_until, score.back_at)
            score.ejections = min(score.ejections + 1, 10)
            score.failures = 0

    def ejected(self, now: float) -> list[str]:
        """Returns the targets that are left alone at the moment."""
        return [t for t, s in self._scores.items() if s.back_at > now]

    def _keep_answering(self, former: dict[str, _Score], now: float) -> None:
        # A list that suddenly names few targets may be wrong. As long as
        # those that are missing answer, they stay until most are back. One
        # that is listed as leaving is not missing: kept in use, it would get
        # work until it is gone, and its last requests would be cut off.
        leaving = {t for t, s in self._scores.items() if not s.candidate.live}
        answering = {
            target: score
            for target, score in former.items()
            if now - score.answered_at < _ANSWERED_SECONDS
            and target not in leaving
        }
        live = {t for t, s in self._scores.items() if s.candidate.live}
        if len(answering.keys() & live) * 2 >= len(answering):
            return
        for target, score in answering.items():
            kept = msgspec.structs.replace(score.candidate, live=True)
            score.candidate = kept
            self._scores[target] = score

    def _by_distance(self) -> tuple[list[_Score], ...]:
        scores = list(self._scores.values())
        live = [s for s in scores if s.candidate.live] or scores
        here = self._here
        zone = [s for s in live if s.candidate.place == here]
        region = [s for s in live if s.candidate.place.region == here.region]
        return zone, region, live

    def _shunned(self, avoid: Collection[str], now: float) -> set[_Score]:
        if avoid:
            found = {self._scores[t] for t in avoid if t in self._scores}
        else:
            found = set()
        if now >= self._ejected_until:
            return found
        # However many targets seem to fail, half of them stay in use: if all
        # were left alone, a fault of the network here would be an outage.
        ejected = sorted(
            (s for s in self._scores.values() if s.back_at > now),
            key=lambda s: s.back_at,
            reverse=True,
        )
        most = int(len(self._scores) * _EJECTED_SHARE)
        return found.union(ejected[:most])
