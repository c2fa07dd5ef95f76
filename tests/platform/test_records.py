"""Decoding of the records of operators and targets."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest
import result

from mimosastile_core.gateway import routes
from mimosastile_gateway import ports
from mimosastile_platform import records
from mimosastile_standins import platform_world

RECORDS = records.RecordDecoder()
REGISTRATION = {
    "ServiceName": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "ConfigVersion": "v1",
    "Slots": 4,
    "State": "ready",
    "WarmupLeftMs": 1500,
    "SeqNo": 3,
    "born": 17,
}
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def _target(value, key="servers/i-1"):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return RECORDS.target(ports.Item(key, raw, 5), 100.0)


class TestConfiguration:
    """The operators' configuration."""

    def test_decoded(self):
        """A configuration is decoded to the gateway's types."""
        raw = json.dumps(platform_world.configuration(7)).encode()
        found = RECORDS.configuration(raw).ok_value
        assert found.version == 7
        assert found.services["catchbook"].keyed
        assert not found.services["tagmint"].keyed
        issue = next(r for r in found.routes if r.name == "issues")
        assert issue.kind is routes.RouteKind.NON_IDEMPOTENT
        assert (issue.timeout, issue.target_latency) == (2.0, 0.4)
        assert issue.parts == (routes.Part("tagmint"),)
        assert found.limits.idle_seconds == 15.0

    def test_weighted_route(self):
        """A route with weighted services has a part for each."""
        raw = platform_world.configuration()
        action = raw["ListenerList"][0]["RuleSet"][0]["RouteAction"]
        del action["ServiceName"]
        action["WeightedServices"] = [
            {"ServiceName": "a", "Weight": 90},
            {"ServiceName": "b", "Weight": 10},
        ]
        found = RECORDS.configuration(json.dumps(raw).encode()).ok_value
        assert found.routes[0].parts == (
            routes.Part("a", 90),
            routes.Part("b", 10),
        )

    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            b'{"ConfigVersion": 3, "Listen',
            b"[]",
            b'{"ConfigVersion": "3"}',
            b'{"ConfigVersion": 3, "ListenerList": [{"RuleSet": []}]}',
            b"\xff\xfe",
        ],
    )
    def test_unreadable(self, raw):
        """An invalid configuration gives an error text."""
        assert RECORDS.configuration(raw).err_value

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("Priority", "high"),
            ("Priority", None),
            ("TargetLatencyMs", -1),
            ("RouteAction", {"WeightedServices": [{"Weight": -1}]}),
        ],
    )
    def test_unusable_rank_aim_or_weight(self, field, value):
        """Guards against a division by numbers that make no sense."""
        raw = platform_world.configuration()
        raw["ListenerList"][0]["RuleSet"][0][field] = value
        why = RECORDS.configuration(json.dumps(raw).encode()).err_value
        assert why.count("\n") == 0
        assert field in why or "RouteAction" in why

    def test_unknown_fields_are_ignored(self):
        """Unknown fields are ignored, as later versions may add some."""
        raw = platform_world.configuration() | {"New": {"Field": 1}}
        assert RECORDS.configuration(json.dumps(raw).encode()).is_ok()

    @hypothesis.given(raw=st.binary(max_size=200))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_any_bytes(self, raw):
        """Any content is decoded or gives an error."""
        assert isinstance(RECORDS.configuration(raw), (result.Ok, result.Err))

    @hypothesis.given(
        name=st.sampled_from(sorted(platform_world.configuration())),
        value=_JSON,
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_any_value(self, name, value):
        """Any value of a field is decoded or gives an error."""
        raw = platform_world.configuration() | {name: value}
        found = RECORDS.configuration(json.dumps(raw).encode())
        assert isinstance(found, (result.Ok, result.Err))


class TestTarget:
    """Registrations."""

    def test_decoded(self):
        """A registration becomes a target."""
        found = _target(REGISTRATION).ok_value
        assert (found.id, found.born, found.service) == ("i-1", 17, "s")
        assert (found.slots, found.leaving) == (4, False)
        assert found.warm_at == 101.5
        assert found.revision == 5

    @pytest.mark.parametrize(
        "change",
        [
            {"State": "asleep"},
            {"State": 3},
            {"Address": "nowhere"},
            {"Address": None},
            {"Slots": 0},
            {"Slots": "4"},
            {"ServiceName": ""},
            {"WarmupLeftMs": -1},
            {"born": 1.5},
            {"born": -1},
            {"born": 1 << 64},
            {"Slots": 1 << 64},
            {"born": True},
            {"born": "17"},
            {"Zone": ""},
            {"Zone": 1},
            {"ConfigVersion": 1},
            {"SeqNo": "3"},
            {"SeqNo": 1.5},
            {"WarmupLeftMs": None},
        ],
    )
    def test_from_another_writer(self, change):
        """An invalid registration of another writer gives no target."""
        assert _target(REGISTRATION | change).is_err()

    @pytest.mark.parametrize("field", list(REGISTRATION))
    def test_lacks_a_field(self, field):
        """Guards against a registration that counts as a target's restart.

        Targets write all fields; another writer's registration under a known
        identifier would take the keys from a target that still holds them.
        """
        partial = {k: v for k, v in REGISTRATION.items() if k != field}
        rejection = _target(partial).err_value
        assert rejection.reason is ports.RejectionReason.MALFORMED
        assert field in rejection.detail

    @pytest.mark.parametrize(
        "address",
        [
            "127.0.0.1:99999",
            "127.0.0.1:65536",
            "127.0.0.1:0",
            "127.0.0.1:-1",
            "127.0.0.1:",
            "127.0.0.1",
            "127.0.0.1:\u0664",
            "127.0.0.1:" + "9" * 5000,
            "1.2.3.400:80",
            "1.2.3:80",
            "....:80",
            "nowhere:80",
            ":80",
            "",
        ],
    )
    def test_address_that_cannot_be_dialled(self, address):
        """Guards against requests to an address that no connect accepts."""
        rejection = _target(REGISTRATION | {"Address": address}).err_value
        assert rejection.reason is ports.RejectionReason.ADDRESS

    def test_unknown_state(self):
        """A state that targets do not have is a reason of its own."""
        rejection = _target(REGISTRATION | {"State": "asleep"}).err_value
        assert rejection.reason is ports.RejectionReason.STATE

    @hypothesis.given(raw=st.binary(max_size=100) | _JSON)
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_anything(self, raw):
        """Any content is decoded or gives an error."""
        assert isinstance(_target(raw), (result.Ok, result.Err))
