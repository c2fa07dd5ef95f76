"""Tests of the replica of configuration and tables."""

import pytest

from mimosastile_core import config
from mimosastile_core import replica
from mimosastile_core import tables


def _version(number):
    return config.Version(number, config.Document())


def _block(version):
    return tables.Block("s", 0, version, (tables.Slice(0, 9),))


class TestForwardOnly:
    """A stale read or a late message carries a lower version number.

    Applying it would undo an accepted change, and requests would go to the
    former owner of a key.
    """

    @pytest.mark.parametrize(("number", "applied"), [(1, 0), (2, 0), (3, 1)])
    def test_config_number_never_decreases(self, number, applied):
        """Only a higher number is applied."""
        copy = replica.Replica()
        copy.offer_config(_version(2))
        assert copy.offer_config(_version(number)) is bool(applied)
        assert copy.config.number == max(2, number)

    @pytest.mark.parametrize(("version", "applied"), [(1, 0), (2, 0), (3, 1)])
    def test_block_version_never_decreases(self, version, applied):
        """Only a higher version is applied."""
        copy = replica.Replica()
        copy.offer_blocks((_block(2),))
        assert copy.offer_blocks((_block(version),)) is bool(applied)
        assert copy.table("s").blocks[0].version == max(2, version)


class TestDelta:
    """Peers exchange newer versions."""

    def test_brings_a_peer_up_to_date(self):
        """After one exchange both hold the same versions."""
        ahead, behind = replica.Replica(), replica.Replica()
        ahead.offer_config(_version(4))
        ahead.offer_blocks((_block(3),))
        behind.offer_blocks((_block(2),))
        assert behind.merge(ahead.delta("a", behind.pull("b")))
        assert behind.config.number == 4
        assert behind.blocks == ahead.blocks

    def test_carries_nothing_to_an_equal_peer(self):
        """No block is sent to a peer with equal versions."""
        one = replica.Replica()
        one.offer_blocks((_block(3),))
        delta = one.delta("a", one.pull("b"))
        assert delta.blocks == ()
        assert delta.configuration is None
