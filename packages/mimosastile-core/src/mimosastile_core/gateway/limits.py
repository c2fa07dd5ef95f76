"""Limits that targets name for all VMs together.

A target in need says in its answers how many requests a second it takes, for
as long as it says so.
"""


class _Named:
    """What one run of a target has said last."""

    __slots__ = ("born", "rate", "since")

    def __init__(self, born: int, rate: float | None, since: float) -> None:
        self.born = born
        self.rate = rate
        self.since = since


class Limits:
    """The limit that each target has named last."""

    __slots__ = ("_named",)

    def __init__(self) -> None:
        """Makes one that knows of none."""
        self._named: dict[str, _Named] = {}

    def rate(self, target: str, born: int) -> float | None:
        """Returns the limit of a target in requests a second, None for none.

        Args:
            target: Identifier of the target.
            born: Which run of it.
        """
        known = self._named.get(target)
        if known is None or known.born != born:
            return None
        return known.rate

    def hear(
        self,
        target: str,
        born: int,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Takes what a target says of its limit in an answer.

        Answers arrive in another order than they were made. A limit is raised
        or lifted only by the answer to a request that was sent after it was
        heard; a lower one counts at once.

        Args:
            target: Identifier of the target.
            born: Which run of it.
            rate: Requests a second, None if it names no limit.
            sent_at: When the request was sent that it answers.
            now: The time.

        Returns:
            Whether that is news.
        """
        known = self._named.get(target)
        if known is not None and born < known.born:
            return False
        former = self.rate(target, born)
        if rate == former:
            return False
        if former is not None and known is not None:
            lower = rate is not None and rate < former
            if not lower and sent_at < known.since:
                return False
        self._named[target] = _Named(born, rate, now)
        return True

    def dump(self) -> dict[str, float]:
        """Returns the limits that are in force, by target."""
        return {
            name: known.rate
            for name, known in self._named.items()
            if known.rate is not None
        }
