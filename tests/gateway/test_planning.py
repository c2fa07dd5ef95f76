"""The planner: which incarnations of targets get the keys of a table."""

import types

import pytest

from mimosastile_core.gateway import key_rates
from mimosastile_core.gateway import ranges
from mimosastile_gateway import planning
from mimosastile_standins import virtual
from tests.gateway import fakes

_OWNER = ranges.Holder("a", 5, "a:80")
_OTHER = ranges.Holder("b", 1, "b:80")


def _keyed():
    reconciler = types.SimpleNamespace(
        needs_fence=lambda holder: False,
        is_unresponsive=lambda holder: False,
        released_fences=dict,
    )
    table = ranges.initial_table("s", {_OWNER: 1.0, _OTHER: 1.0}, "c1")
    return planning.KeyedService(
        table, 1, reconciler, *(key_rates.KeyRates(1.0, 0.0) for _ in range(3))
    )


def _next_table(registered):
    """Returns the table after target "a" has registered as given."""

    async def main():
        timer, log = fakes.VirtualClock(), fakes.MemoryEvents()
        targets = [registered, fakes.target("b")]
        planner = planning.Planner(
            fakes.configured(),
            types.SimpleNamespace(fresh=dict),
            fakes.new_cluster_state(timer, log, *targets),
            timer,
            log,
        )
        return planner.next_table(_keyed(), targets, timer.now())

    return virtual.run(main())


class TestRestarts:
    """Targets that register with another start or address."""

    @pytest.mark.parametrize(
        ("born", "address"), [(6, "a:80"), (6, "a:81"), (5, "a:81")]
    )
    def test_later_incarnation_gets_the_keys_at_once(self, born, address):
        """A later start proves a restart, so nothing is waited for."""
        table = _next_table(fakes.target("a", born=born, address=address))
        owner = ranges.Holder("a", born, address)
        assert owner in table.owners()
        assert not any(part.formers for part in table.ranges)

    @pytest.mark.parametrize("address", ["a:80", "a:79"])
    def test_earlier_incarnation_waits_for_the_owner(self, address):
        """Guards against keys held by two targets after a late registration.

        The table names a later incarnation, which holds the keys; the VM that
        leads has read only the earlier one's registration. That proves no end
        of the later one, so its keys must be released first.
        """
        table = _next_table(fakes.target("a", born=4, address=address))
        for part in table.ranges:
            holders = {former.holder for former in part.formers}
            assert part.owner in (_OWNER, _OTHER) or _OWNER in holders
        assert any(part.formers for part in table.ranges)
