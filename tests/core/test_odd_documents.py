"""Tests that decoding outside data never raises, whatever its form."""

import pytest

from mimosastile_core import config
from mimosastile_core import history
from mimosastile_core import messages
from mimosastile_core import patches
from mimosastile_core import tables
from mimosastile_standins import odd_records

_BODY = b'{"number":1}'
_DECODERS = {
    "document": config.decode_document,
    "version": config.decode_version,
    "table": tables.decode,
    "block": history.decode,
    "operations": history.decode_operations,
    "snapshot": history.decode_snapshot,
    "patch": patches.decode,
    "message": messages.decode,
}


@pytest.mark.parametrize("decoder", _DECODERS)
@pytest.mark.parametrize("kind", odd_records.forms(_BODY))
def test_never_raises(decoder, kind):
    """Guards against data in an odd form that ends the task that reads it."""
    outcome = _DECODERS[decoder](odd_records.forms(_BODY)[kind])
    assert outcome.is_ok() or outcome.err_value


@pytest.mark.parametrize(
    "decode", [history.decode_operations, history.decode_snapshot]
)
def test_bounded(decode):
    """Guards against a small value that takes the daemon's memory."""
    value = odd_records.compressed(300 << 20)
    assert len(value) < 1 << 20
    assert decode(value).is_err()
