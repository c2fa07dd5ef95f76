"""Moves of keys under the load patterns that rebalancing handles."""

import collections
import random

import pytest

from mimosastile_core.gateway import ranges
from mimosastile_core.gateway import rebalance

HOLDERS = [ranges.Holder(f"t{i}", 1, f"10.0.0.{i}:80") for i in range(18)]
POLICY = rebalance.Policy()


def _table(holders=HOLDERS):
    return ranges.initial_table("s", dict.fromkeys(holders, 4.0), "c1")


def _settled(table, moves):
    """Returns the table after moves, with all former owners released."""
    moved = ranges.move(table, moves, "c")
    done = {r.piece: [f.fence for f in r.formers] for r in moved.ranges}
    return ranges.remove_released(moved, done, "c")


def _loads(table, heat):
    loads = dict.fromkeys(HOLDERS, 0.0)
    for key, count in heat.items():
        owner = table.find(key).owner
        loads[owner] = loads.get(owner, 0.0) + count
    return loads


def _ratio(table, heat, capacity):
    """Returns the load of the busiest target over the mean, by capacity."""
    loads = _loads(table, heat)
    whole = sum(capacity.values())
    total = sum(heat.values())
    return max(loads[h] / (total * c / whole) for h, c in capacity.items() if c)


def _zipf_counts(seed, requests=2000, start=9000):
    """Returns request counts of adjacent keys, falling from the first."""
    rng = random.Random(seed)
    heat = {}
    for _ in range(requests):
        key = min(int(start + rng.paretovariate(0.5) * 20), 65535)
        heat[key] = heat.get(key, 0) + 1
    return heat


class TestSpread:
    """Moves from the most loaded targets to the least loaded."""

    @pytest.mark.parametrize("seed", range(5))
    def test_adjacent_hot_keys(self, seed):
        """The hottest keys of a service are adjacent.

        A table of equal widths gives one target several times the mean load,
        and its callers wait in its queue while other targets are idle.
        """
        heat, table = _zipf_counts(seed), _table()
        capacity = dict.fromkeys(HOLDERS, 4.0)
        assert _ratio(table, heat, capacity) > 3
        for _ in range(6):
            moves = rebalance.spread(table, capacity, heat, POLICY)
            table = _settled(table, moves)
        hottest = max(heat.values()) / (sum(heat.values()) / 18)
        assert _ratio(table, heat, capacity) < max(1.5, hottest + 0.5)

    @pytest.mark.parametrize(
        ("width", "share"), [(200, 0.43), (60, 0.34), (200, 0.35)]
    )
    def test_interval_that_gets_hot_at_once(self, width, share):
        """From one second to the next two hundred keys get 43% of requests.

        A single decision has to split the interval: its owner has many times
        its fair share, and with each further second requests miss their
        deadlines. The decision is based on half a second of requests.
        """
        rng = random.Random(1)
        requests = 110
        hot = [30_000 + rng.randrange(width) for _ in range(requests)]
        cold = [rng.randrange(65536) for _ in range(requests)]
        heat = {}
        for index in range(requests):
            key = hot[index] if rng.random() < share else cold[index]
            heat[key] = heat.get(key, 0) + 1
        table = _table()
        capacity = dict.fromkeys(HOLDERS, 4.0)
        before = _ratio(table, heat, capacity)
        table = _settled(table, rebalance.spread(table, capacity, heat, POLICY))
        assert before > 5
        # Three standard deviations of a target's six requests.
        assert _ratio(table, heat, capacity) < 2.5
        run = [table.find(30_000 + k).owner for k in range(width)]
        assert len(set(run)) >= 4

    def test_chance_moves_nothing(self):
        """Even load varies by chance; moves in response would gain nothing."""
        moved = 0
        for seed in range(50):
            rng = random.Random(seed)
            heat = {}
            for _ in range(400):
                key = rng.randrange(65536)
                heat[key] = heat.get(key, 0) + 1
            capacity = dict.fromkeys(HOLDERS, 4.0)
            moved += len(rebalance.spread(_table(), capacity, heat, POLICY))
        assert moved <= 2

    def test_moved_load_is_not_dense_by_chance(self):
        """Guards against moves of far less load than was counted.

        Keys are requested evenly. The densest interval of a count has twice the
        mean by chance, and moving it leaves its owner half of the excess.
        """
        heat = collections.Counter(
            random.Random(4).choices(range(65536), k=6000)
        )
        capacity = dict.fromkeys(HOLDERS, 4.0)
        capacity.update(dict.fromkeys(HOLDERS[::3], 2.0))
        full = sum(heat.values()) / sum(capacity.values()) / 0.9
        moves = rebalance.spread(_table(), capacity, heat, POLICY, full)
        table = _settled(_table(), moves)
        widths = dict.fromkeys(HOLDERS, 0)
        for item in table.ranges:
            widths[item.owner] += item.last - item.first + 1
        even = 65536 / sum(capacity.values())
        assert max(widths[h] / (c * even) for h, c in capacity.items()) < 1.2

    def test_owner_without_capacity(self):
        """Guards against moves chosen by a share of no capacity."""
        first = _table().ranges[0]
        others = range(first.last + 1, 65536)
        heat = collections.Counter(random.Random(4).choices(others, k=6000))
        heat[first.first] = 1
        capacity = dict.fromkeys(HOLDERS, 4.0)
        del capacity[first.owner]
        assert not rebalance.spread(_table(), capacity, heat, POLICY)
        hot = next(r for r in _table().ranges if r.owner == HOLDERS[2])
        heat.update({hot.first + n: 20 for n in range(100)})
        moves = rebalance.spread(_table(), capacity, heat, POLICY)
        assert moves
        assert all(hot.first <= m.first <= hot.last for m in moves)

    def test_load_that_has_moved_on(self):
        """Guards against moves of keys that were hot some seconds ago."""
        capacity = dict.fromkeys(HOLDERS, 4.0)
        capacity[HOLDERS[1]] = 2.0
        past = dict.fromkeys(range(200), 5.0)
        recent = dict.fromkeys(range(60_000, 60_200), 1.0)
        assert rebalance.spread(_table(), capacity, past, POLICY, 100.0)
        assert not rebalance.spread(
            _table(), capacity, past, POLICY, 100.0, recent
        )

    def test_slow_target_loses_keys(self):
        """A target becomes five times slower, and most of its keys move."""
        rng = random.Random(3)
        heat = {rng.randrange(65536): 1 for _ in range(3000)}
        capacity = dict.fromkeys(HOLDERS, 4.0)
        capacity[HOLDERS[0]] = 0.8
        table = _table()
        for _ in range(3):
            table = _settled(
                table, rebalance.spread(table, capacity, heat, POLICY)
            )
        loads = _loads(table, heat)
        assert loads[HOLDERS[0]] < 0.5 * 3000 / 18

    def test_new_target_gets_its_share(self):
        """A target that joins an evenly loaded service gets keys."""
        rng = random.Random(4)
        heat = {rng.randrange(65536): 1 for _ in range(4000)}
        table = _table(HOLDERS[:12])
        capacity = dict.fromkeys(HOLDERS, 4.0)
        for _ in range(4):
            table = _settled(
                table, rebalance.spread(table, capacity, heat, POLICY)
            )
        assert min(_loads(table, heat).values()) > 0.3 * 4000 / 18

    def test_bound_on_ranges(self):
        """A long series of hot intervals does not fragment the table.

        Each range has its own renewals; too many would overload a leader until
        grants expire.
        """
        rng = random.Random(5)
        table = _table()
        capacity = dict.fromkeys(HOLDERS, 4.0)
        for _ in range(200):
            start = rng.randrange(65000)
            heat = {start + k: 1 for k in range(500)}
            table = _settled(
                table, rebalance.spread(table, capacity, heat, POLICY)
            )
        most = POLICY.most_ranges * len(HOLDERS) + 2 * POLICY.most_moves
        assert len(table.ranges) <= most


class TestEvacuate:
    """Targets that lose all keys."""

    @pytest.mark.parametrize("lost", [1, 3, 17])
    def test_all_keys_go(self, lost):
        """Targets leave or crash, and each of their keys gets another owner."""
        capacity = dict.fromkeys(HOLDERS[lost:], 4.0)
        moves = rebalance.evacuate(_table(), capacity, {}, HOLDERS[:lost])
        table = ranges.move(_table(), moves, "c2")
        assert not table.owners() & set(HOLDERS[:lost])

    def test_without_rates_widths_are_spread(self):
        """Without request rates, cold ranges do not all go to one target."""
        lost = HOLDERS[:6]
        capacity = dict.fromkeys(HOLDERS[6:], 4.0)
        moves = rebalance.evacuate(_table(), capacity, {}, lost)
        assert len({move.to for move in moves}) == 6

    def test_no_other_target(self):
        """Without any other target, keys stay with their owners."""
        assert rebalance.evacuate(_table(), {}, {}, HOLDERS[:1]) == []


class TestIsolate:
    """A single key whose request rate exceeds its owner's capacity."""

    def _rates(self, key=20_000, rate=90.0):
        rng = random.Random(6)
        rates = {rng.randrange(65536): 1.0 for _ in range(120)}
        rates[key] = rate
        return rates

    def _capacity(self):
        return {h: 48.0 if i % 3 else 21.0 for i, h in enumerate(HOLDERS)}

    def test_fastest_target_without_other_keys(self):
        """One thread of letters gets a third of all requests.

        Its callers are refused while its owner, a slow target, also serves
        colder keys.
        """
        table = _table()
        key = next(k for k in range(65536) if table.find(k).owner == HOLDERS[3])
        rates, capacity = self._rates(key), self._capacity()
        moves = rebalance.isolate(table, capacity, rates, POLICY)
        table = _settled(table, moves)
        owner = table.find(key).owner
        assert capacity[owner] == 48.0
        others = {k for k in rates if table.find(k).owner == owner} - {key}
        assert others == set()

    def test_no_repeated_moves_of_a_key(self):
        """Capacities are estimates; the key does not move repeatedly."""
        table = _table()
        key = 5
        assert table.find(key).owner == HOLDERS[0]
        moves = rebalance.isolate(
            table, self._capacity(), self._rates(key), POLICY, key
        )
        assert all(not move.first <= key <= move.last for move in moves)
        assert moves

    @pytest.mark.parametrize("rate", [0.0, 5.0, 12.0])
    def test_key_within_the_capacity_of_its_owner(self, rate):
        """A popular key within its owner's capacity moves nothing."""
        rates = self._rates(rate=rate)
        assert (
            rebalance.isolate(_table(), self._capacity(), rates, POLICY) == []
        )

    def test_without_rates_or_targets(self):
        """Without load or targets nothing moves."""
        assert rebalance.isolate(_table(), self._capacity(), {}, POLICY) == []
        assert rebalance.isolate(_table(), {}, {1: 9.0}, POLICY) == []
