"""Tests of matching responses to requests."""

import itertools

import hypothesis
from hypothesis import strategies as st
import pytest

from mimosastile_core import response_matching

_OWN = response_matching.Match.OWN
_FOREIGN = response_matching.Match.FOREIGN
_UNKNOWN = response_matching.Match.UNKNOWN


class TestMatch:
    """Responses on one connection."""

    @pytest.mark.parametrize(
        ("sends", "identifiers", "match", "reusable"),
        [
            (["a"], ["a"], _OWN, True),
            (["a"], ["a", "a"], _OWN, True),
            (["a"], ["b"], _FOREIGN, True),
            (["a"], ["b", "a"], _FOREIGN, True),
            (["a"], ["a" * (64 << 10)], _FOREIGN, True),
            (["a"], [""], _FOREIGN, True),
            (["a"], [], _OWN, False),
            (["a", "b"], ["b"], _OWN, True),
            (["a", "b"], ["a"], _FOREIGN, True),
            (["a", "b"], [], _UNKNOWN, False),
            ([""], [], _OWN, True),
            (["", ""], [], _OWN, True),
        ],
    )
    def test_match(self, sends, identifiers, match, reusable):
        """Guards against a response that is taken for one to another send."""
        history = response_matching.ConnectionHistory()
        for identifier in sends:
            history.begin(identifier)
        assert history.match(identifiers) is match
        assert history.reusable is reusable


_RESPONSES = st.lists(
    st.tuples(st.booleans(), st.lists(st.integers(0, 30), max_size=3)),
    max_size=30,
)
"""For each send: whether the server repeats its identifier, and the earlier
sends whose responses it sends once more before that to this one."""


class TestHistories:
    """A server that sends copies of its responses at any time."""

    @hypothesis.given(responses=_RESPONSES)
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_each_send_gets_its_own_response(self, responses):
        """Guards against copies, of refusals too, that reach another send."""
        history = response_matching.ConnectionHistory()
        written = []
        for number, (identified, copied) in enumerate(responses):
            if not history.reusable:
                history, written = response_matching.ConnectionHistory(), []
            history.begin(f"{number}")
            response = (number, [f"{number}"] if identified else [])
            copies = [written[c] for c in copied if c < len(written)]
            written.append(response)
            verdicts = (
                (of, history.match(identifiers))
                for of, identifiers in itertools.chain(copies, [response])
            )
            taken, match = next(v for v in verdicts if v[1] is not _FOREIGN)
            assert taken == number or match is _UNKNOWN
