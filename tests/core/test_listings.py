"""Tests of own and received snapshots of the list of VMs."""

import msgspec

from mimosastile_core import fleet
from mimosastile_core import listings
from mimosastile_core import messages


def _vms(*names):
    return tuple(
        fleet.Vm(n, fleet.Role.TARGET, "r", "z", "127.0.0.1", 1, "s")
        for n in names
    )


def _listing(*names, number=1, age=0.0, gone=(), reader="other"):
    return messages.Listing("", reader, number, age, _vms(*names), gone)


class TestGone:
    """Two readers observe the list with different lags.

    The snapshot of the lagging reader does not contain a new VM. If the VM
    then counted as gone, its keys would get a second owner while it runs.
    """

    def test_missing_from_another_readers_list_is_not_gone(self):
        """Only two snapshots of the same reader show that a VM is gone."""
        view = listings.Listings("me")
        view.read(_vms("a", "new"), 0.0)
        assert view.receive(_listing("a"), 5.0)
        assert not view.is_gone("new")

    def test_missing_from_the_same_readers_list_is_gone(self):
        """The reader saw the VM listed and later not."""
        view = listings.Listings("me")
        view.read(_vms("a", "b"), 0.0)
        view.read(_vms("a"), 1.0)
        assert view.is_gone("b")
        assert not view.is_gone("never-listed")

    def test_gone_vms_are_sent_to_peers(self):
        """A VM that never read the list learns of gone VMs from a peer."""
        reader, other = listings.Listings("me"), listings.Listings("other")
        reader.read(_vms("a", "b"), 0.0)
        reader.read(_vms("a"), 1.0)
        other.receive(reader.listing("", 1.0), 1.0)
        assert other.is_gone("b")


class TestReceive:
    """Messages arrive out of order, and peers return old snapshots."""

    def test_older_snapshot_of_a_reader_is_dropped(self):
        """The numbers of a reader only increase."""
        view = listings.Listings("me")
        view.receive(_listing("a", "b", number=2), 0.0)
        assert not view.receive(_listing("a", number=1), 1.0)
        assert set(view.fleet.vms) == {"a", "b"}

    def test_another_reader_needs_a_fresher_snapshot(self):
        """Without a margin, the snapshots of two readers would alternate."""
        view = listings.Listings("me")
        view.read(_vms("a", "b"), 10.0)
        assert not view.receive(_listing("a", age=0.0), 10.5)
        assert view.receive(_listing("a", age=0.0), 12.0)

    def test_leaving_mark_needs_no_margin(self):
        """With a margin, a leaving target would get requests for 1 s longer."""
        view = listings.Listings("me")
        view.read(_vms("a", "b"), 10.0)
        leaving = msgspec.structs.replace(
            _vms("a")[0], state=fleet.VmState.LEAVING
        )
        marked = messages.Listing("", "other", 1, 0.0, (leaving,), ())
        assert view.receive(marked, 10.1)
        assert view.fleet.vms["a"].state is fleet.VmState.LEAVING

    def test_leaving_mark_of_an_older_snapshot_is_ignored(self):
        """The platform may have withdrawn the mark since."""
        view = listings.Listings("me")
        view.read(_vms("a"), 10.0)
        leaving = msgspec.structs.replace(
            _vms("a")[0], state=fleet.VmState.LEAVING
        )
        marked = messages.Listing("", "other", 1, 5.0, (leaving,), ())
        assert not view.receive(marked, 11.0)

    def test_own_returned_snapshot_is_dropped(self):
        """A peer returns a snapshot that this VM sent earlier."""
        view = listings.Listings("me")
        view.read(_vms("a"), 0.0)
        returned = view.listing("", 0.0)
        view.read(_vms("a", "b"), 1.0)
        assert not view.receive(returned, 9.0)
        assert set(view.fleet.vms) == {"a", "b"}

    def test_confirmation_keeps_a_snapshot_fresh(self):
        """A confirmed snapshot need not be read again from the platform."""
        view = listings.Listings("me")
        view.receive(_listing("a"), 0.0)
        view.confirm("other", 1, 0.5, 10.0)
        assert view.age(10.0) == 0.5
