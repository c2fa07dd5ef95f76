"""Tests of the table of promises and their proofs."""

import pytest

from mimosastile_core import errors
from mimosastile_core import promises


class TestProofs:
    """Which error kinds promise that a request has not run."""

    @pytest.mark.parametrize("kind", errors.ErrorKind)
    def test_promise_has_a_proof(self, kind):
        """Guards against a kind that promises and needs no proof."""
        promises_it = errors.ERROR_RESPONSES[kind].ran is errors.Ran.NO
        assert promises_it == (kind in promises.PROOFS)
        assert not promises_it or promises.PROOFS[kind]

    @pytest.mark.parametrize("kind", errors.ErrorKind)
    def test_status_promises_no_more_than_the_kind(self, kind):
        """Guards against a status that promises what its kind does not."""
        if promises.needs_proof(errors.ERROR_RESPONSES[kind].status):
            assert kind in promises.PROOFS
