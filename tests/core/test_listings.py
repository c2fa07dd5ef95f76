"""Tests of own and told readings of the list of VMs."""

import msgspec

from mimosastile_core import fleet
from mimosastile_core import listings
from mimosastile_core import messages


def _vms(*names):
    return tuple(
        fleet.Vm(n, fleet.Role.TARGET, "r", "z", "127.0.0.1", 1, "s")
        for n in names
    )


def _told(*names, number=1, age=0.0, gone=(), reader="other"):
    return messages.Listing("", reader, number, age, _vms(*names), gone)


class TestGone:
    """Two readers see the list with different lags.

    The one that lags does not know a new VM yet. If its reading made that VM
    count as gone, its keys would get a second owner while it runs.
    """

    def test_missing_from_another_readers_list_is_not_gone(self):
        """Only one reader's own two readings show it."""
        held = listings.Listings("me")
        held.read(_vms("a", "new"), 0.0)
        assert held.told(_told("a"), 5.0)
        assert not held.is_gone("new")

    def test_missing_from_the_same_readers_list_is_gone(self):
        """It was listed and is listed no longer."""
        held = listings.Listings("me")
        held.read(_vms("a", "b"), 0.0)
        held.read(_vms("a"), 1.0)
        assert held.is_gone("b")
        assert not held.is_gone("never-listed")

    def test_is_told_on(self):
        """A VM that never read the list knows by a peer's word."""
        reader, other = listings.Listings("me"), listings.Listings("other")
        reader.read(_vms("a", "b"), 0.0)
        reader.read(_vms("a"), 1.0)
        other.told(reader.listing("", 1.0), 1.0)
        assert other.is_gone("b")


class TestForward:
    """Messages overtake each other, and peers echo what they were told."""

    def test_older_reading_of_a_reader_is_dropped(self):
        """Its numbers only rise."""
        held = listings.Listings("me")
        held.told(_told("a", "b", number=2), 0.0)
        assert not held.told(_told("a", number=1), 1.0)
        assert set(held.fleet.vms) == {"a", "b"}

    def test_another_reader_needs_a_fresher_reading(self):
        """Or two readers' views would alternate."""
        held = listings.Listings("me")
        held.read(_vms("a", "b"), 10.0)
        assert not held.told(_told("a", age=0.0), 10.5)
        assert held.told(_told("a", age=0.0), 12.0)

    def test_leaving_mark_needs_no_margin(self):
        """Callers would be sent to a leaving target a second too long."""
        held = listings.Listings("me")
        held.read(_vms("a", "b"), 10.0)
        leaving = msgspec.structs.replace(
            _vms("a")[0], state=fleet.VmState.LEAVING
        )
        marked = messages.Listing("", "other", 1, 0.0, (leaving,), ())
        assert held.told(marked, 10.1)
        assert held.fleet.vms["a"].state is fleet.VmState.LEAVING

    def test_leaving_mark_of_an_older_reading_is_no_news(self):
        """The platform may have taken it back since."""
        held = listings.Listings("me")
        held.read(_vms("a"), 10.0)
        leaving = msgspec.structs.replace(
            _vms("a")[0], state=fleet.VmState.LEAVING
        )
        marked = messages.Listing("", "other", 1, 5.0, (leaving,), ())
        assert not held.told(marked, 11.0)

    def test_own_echo_is_dropped(self):
        """What comes back is not news."""
        held = listings.Listings("me")
        held.read(_vms("a"), 0.0)
        echo = held.listing("", 0.0)
        held.read(_vms("a", "b"), 1.0)
        assert not held.told(echo, 9.0)
        assert set(held.fleet.vms) == {"a", "b"}

    def test_confirmation_keeps_a_reading_fresh(self):
        """So that nobody reads the platform without need."""
        held = listings.Listings("me")
        held.told(_told("a"), 0.0)
        held.confirm("other", 1, 0.5, 10.0)
        assert held.age(10.0) == 0.5
