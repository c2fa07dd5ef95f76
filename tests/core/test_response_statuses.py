"""Tests of the statuses of responses."""

import pytest

from mimosastile_core import response_statuses


@pytest.mark.parametrize(
    ("status", "valid", "interim"),
    [
        (0, False, False),
        (99, False, False),
        (100, True, True),
        (199, True, True),
        (200, True, False),
        (599, True, False),
        (600, False, False),
        (999, False, False),
    ],
)
def test_classes(status, valid, interim):
    """Guards against an invalid status taken for an interim or a final one."""
    assert response_statuses.is_valid(status) is valid
    assert response_statuses.is_interim(status) is interim
