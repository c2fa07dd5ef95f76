"""Tests of patches: decoding, applying, comparing and reverting."""

import copy
import json

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import patches

REASON = "because"
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=120, database=None
)
DOCUMENT = config.Document(
    services={"desk": config.Service(), "archive": config.Service(slots=2)},
    members={"m": config.Member(share=2.0)},
)


def _patch(*operations, base=0):
    fields = {
        "id": "patch-0001",
        "base": base,
        "reason": REASON,
        "operations": list(operations),
    }
    return patches.decode(json.dumps(fields).encode()).unwrap()


def _op(kind, path, **rest):
    return {"op": kind, "path": path, **rest}


class TestDecode:
    """Rejection of invalid patches before they are applied."""

    @pytest.mark.parametrize(
        ("fields", "named"),
        [
            ({"id": "short"}, "id"),
            ({"id": "x" * 8 + "\n"}, "id"),
            ({"base": -1}, "base"),
            ({"reason": ""}, "reason"),
            ({"reason": "a\x1b[2J"}, "reason"),
            ({"ticket": "a\nb"}, "ticket"),
            ({"operations": []}, "operations"),
            ({"operations": [_op("merge", "/a")]}, "op"),
            ({"operations": [_op("add", "/a", valu=1)]}, "valu"),
            ({"author": "somebody"}, "author"),
        ],
    )
    def test_error_names_the_field(self, fields, named):
        """Among others, an author is rejected: it comes from the token."""
        good = {
            "id": "patch-0001",
            "base": 0,
            "reason": REASON,
            "operations": [_op("remove", "/a")],
        }
        refused = patches.decode(json.dumps(good | fields).encode())
        assert refused.unwrap_err().kind is errors.ErrorKind.BAD_REQUEST
        assert named in refused.unwrap_err().detail

    def test_too_long(self):
        """A patch above the size limit is rejected before decoding."""
        refused = patches.decode(b" " * (patches.MAX_PATCH_BYTES + 1))
        assert refused.unwrap_err().kind is errors.ErrorKind.BODY_TOO_LARGE


class TestPropose:
    """Applying a patch to a document."""

    @pytest.mark.parametrize(
        ("operations", "paths"),
        [
            (
                [_op("replace", "/services/desk/slots", value=2)],
                ("/services/desk/slots",),
            ),
            (
                [_op("add", "/services/new", value={})],
                ("/services/new",),
            ),
            ([_op("remove", "/services/archive")], ("/services/archive",)),
            (
                [
                    _op("copy", "/members/n", **{"from": "/members/m"}),
                    _op("replace", "/members/n/rate", value=5),
                ],
                ("/members/n",),
            ),
            (
                # A root operation yields only the values that it changes.
                [_op("replace", "", value={"services": {}, "members": {}})],
                ("/members/m", "/services/archive", "/services/desk"),
            ),
            (
                [_op("add", "/services/desk/drains/-", value="t1")],
                ("/services/desk/drains",),
            ),
        ],
    )
    def test_paths(self, operations, paths):
        """Paths come from comparing documents, not from the operations."""
        proposal = patches.propose(DOCUMENT, _patch(*operations)).unwrap()
        assert proposal.paths == paths

    @pytest.mark.parametrize(
        ("operations", "named"),
        [
            ([_op("remove", "/services/none")], "none"),
            ([_op("remove", "")], ""),
            ([_op("add", "/services/desk/slots/x", value=1)], ""),
            ([_op("test", "/members/m/share", value=3)], ""),
            ([_op("add", "services", value=1)], ""),
            ([_op("add", "/members/n")], "value"),
            ([_op("move", "/members/n")], "from"),
            (
                [_op("replace", "/services/desk/slots", value=0)],
                "services.desk.slots: Expected `int` >= 1",
            ),
            (
                [_op("replace", "/services/desk/slot", value=1)],
                "slot",
            ),
            (
                [_op("add", "/services/UPPER", value={})],
                "services 'UPPER'",
            ),
            (
                [_op("add", "/services/desk/moves/k", value="t")],
                "services.desk.moves: the service is not divided by key",
            ),
            (
                [_op("add", "/operators/a", value={"services": ["x"]})],
                "operators.a.services: no service 'x'",
            ),
            ([_op("replace", "/services/desk/slots", value=4)], "Nothing"),
            (
                [_op("add", "/members/m/credentials/0", value="ab")],
                "members.m.credentials",
            ),
        ],
    )
    def test_error_names_path_and_fix(self, operations, named):
        """A patch is atomic: one invalid operation rejects the valid ones."""
        good = _op("add", "/members/good", value={})
        refused = patches.propose(DOCUMENT, _patch(*operations))
        assert refused.unwrap_err().kind is errors.ErrorKind.INVALID_CONFIG
        assert named in refused.unwrap_err().detail
        if "Nothing" not in named:
            assert patches.propose(DOCUMENT, _patch(good, *operations)).is_err()

    def test_many_paths_are_replaced_by_their_parents(self):
        """A change's list of paths stays short in the history."""
        added = [_op("add", f"/members/m{i}", value={}) for i in range(200)]
        proposal = patches.propose(DOCUMENT, _patch(*added)).unwrap()
        assert proposal.paths == ("/members",)

    def test_document_above_the_size_limit_is_rejected(self):
        """The largest document and its change fit into one store value."""
        keys = {f"k{i:0500}": "t" for i in range(1100)}
        service = {"key": {"place": "path"}, "moves": keys}
        too_much = patches.Patch(
            "patch-0001",
            0,
            REASON,
            (patches.Operation("add", "/services/big", service),),
        )
        refused = patches.propose(DOCUMENT, too_much)
        assert "at most" in refused.unwrap_err().detail


class TestReverting:
    """Reverting one change with a new patch."""

    AFTER = msgspec.structs.replace(
        DOCUMENT,
        services={
            "desk": config.Service(slots=8),
            "new": config.Service(),
        },
    )

    def test_later_changes_are_kept(self):
        """Only the paths of the reverted change are restored."""
        now = msgspec.structs.replace(self.AFTER, members={})
        undo = patches.revert(DOCUMENT, self.AFTER, now).unwrap()
        back = patches.apply_raw(patches.to_raw(now), undo).unwrap()
        expected = msgspec.structs.replace(DOCUMENT, members={})
        assert config.convert_document(back).unwrap() == expected

    def test_path_changed_again_is_a_conflict(self):
        """A revert never discards a later change."""
        now = msgspec.structs.replace(
            self.AFTER, services={"desk": config.Service(slots=9)}
        )
        refused = patches.revert(DOCUMENT, self.AFTER, now).unwrap_err()
        assert refused.kind is errors.ErrorKind.CONFLICT
        assert "/services/desk/slots" in refused.detail


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-3, 9)
    | strategies.sampled_from(["", "a", "path", "t1"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["desk", "slots", "key", "share"]), inner
        )
    ),
    max_leaves=5,
)
_POINTERS = strategies.lists(
    strategies.sampled_from(
        ["services", "members", "desk", "m", "slots", "drains", "-", "0", "~2"]
    ),
    max_size=4,
).map(lambda parts: "".join("/" + part for part in parts))
_OPERATIONS = strategies.builds(
    patches.Operation,
    strategies.sampled_from(
        ["add", "remove", "replace", "move", "copy", "test"]
    ),
    _POINTERS,
    _JSON,
    _POINTERS,
)


class TestProperties:
    """For any input, the outcome is a valid document or a failure."""

    @SETTINGS
    @hypothesis.given(strategies.lists(_OPERATIONS, min_size=1, max_size=4))
    def test_outcome_is_valid_or_a_failure(self, operations):
        """No operation raises, mutates its base or makes it invalid."""
        before = copy.deepcopy(patches.to_raw(DOCUMENT))
        patch = patches.Patch("patch-0001", 0, REASON, tuple(operations))
        outcome = patches.propose(DOCUMENT, patch)
        assert patches.to_raw(DOCUMENT) == before
        if outcome.is_ok():
            document = outcome.unwrap().document
            encoded = msgspec.json.encode(document)
            assert config.decode_document(encoded).unwrap() == document
            assert outcome.unwrap().paths
        else:
            assert outcome.unwrap_err().detail

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes(self, data):
        """Arbitrary bytes give a failure with a detail, not an exception."""
        if patches.decode(data).is_err():
            assert patches.decode(data).unwrap_err().detail

    @SETTINGS
    @hypothesis.given(_JSON, _JSON)
    def test_changed_paths_are_empty_only_for_equal_values(self, one, other):
        """No paths are returned only if the values are equal."""
        differ = list(patches.changed_paths(one, other))
        assert bool(differ) == (json.dumps(one) != json.dumps(other)) or (
            one == other
        )

    @SETTINGS
    @hypothesis.given(
        strategies.integers(1, 9), strategies.booleans(), strategies.booleans()
    )
    def test_diff_transforms_one_document_into_the_other(
        self, slots, drop, add
    ):
        """The operations of a diff transform one document into the other."""
        services = {"desk": config.Service(slots=slots)}
        if add:
            services["more"] = config.Service(drains=("a", "b"))
        if not drop:
            services["archive"] = DOCUMENT.services["archive"]
        after = config.Document(services, DOCUMENT.members)
        operations = patches.diff(DOCUMENT, after)
        raw = patches.apply_raw(patches.to_raw(DOCUMENT), operations).unwrap()
        assert config.convert_document(raw).unwrap() == after
