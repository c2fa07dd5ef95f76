"""Log lines and counts of registrations that name no target."""

from mimosastile_gateway import ports
from mimosastile_gateway import rejected_registrations
from tests.gateway import fakes

_REJECTION = ports.Rejection(ports.RejectionReason.STATE, "asleep")


class TestRecord:
    """Recording of rejections."""

    def test_counted_once_for_each_revision(self):
        """A registration that is read again is not counted again."""
        log = fakes.MemoryEvents()
        rejected = rejected_registrations.RejectedRegistrations(log)
        for revision in (3, 3, 5, 4, 5):
            rejected.record("a", revision, _REJECTION)
        rejected.record("b", 1, _REJECTION)
        assert rejected.counts == {"state": 3}
        assert len(log.named("target_unreadable")) == 2

    def test_bounded(self, monkeypatch):
        """Guards against memory that grows with another writer's keys."""
        monkeypatch.setattr(rejected_registrations, "_MAX_KEYS", 10)
        rejected = rejected_registrations.RejectedRegistrations(
            fakes.MemoryEvents()
        )
        for number in range(100):
            rejected.record(f"t{number}", 1, _REJECTION)
        assert len(rejected._revisions) == 10
        assert rejected.counts == {"state": 100}
