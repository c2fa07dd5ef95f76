"""Tests of request signatures between entry VMs."""

import pytest

from mimosastile_entry import _auth
from mimosastile_entry import settings

OLD = "o" * 32
NEW = "n" * 32
HEADERS = [("x-mimosastile-member", "desk"), ("accept", "a"), ("accept", "b")]


class _WallClock:
    def __init__(self, now=1_000_000.0):
        self.now = now

    def __call__(self):
        return self.now


def _signer(vm, keys=None, sign_with="old", wall=None):
    wall = wall or _WallClock()
    return _auth.Signer(vm, keys or {"old": OLD}, sign_with, 10.0, wall)


def _signed_headers(signer, to="e1", headers=HEADERS, body=b"letter"):
    return [*headers, *signer.sign(to, "POST", "/forward/s/1", headers, body)]


class TestAccepted:
    """Requests that a peer signed are accepted."""

    def test_unsigned_headers_of_the_http_library(self):
        """Framing and host headers are per connection and not signed."""
        sent = [
            ("host", "h"),
            ("content-length", "6"),
            *_signed_headers(_signer("e0")),
        ]
        receiver = _signer("e1")
        assert receiver.check("POST", "/forward/s/1", sent[::-1])
        assert _auth.body_matches(b"letter", sent)
        assert not _auth.body_matches(b"Letter", sent)

    def test_both_keys_are_valid_while_they_are_rotated(self):
        """VMs change keys one after another; none is refused meanwhile."""
        both = {"old": OLD, "new": NEW}
        receiver = _signer("e1", both, "new")
        for signer in (_signer("e0"), _signer("e0", both, "new")):
            assert receiver.check(
                "POST", "/forward/s/1", _signed_headers(signer)
            )

    def test_no_keys_no_headers(self):
        """Without keys, the check is disabled."""
        signer = _auth.Signer("e0", {}, "", 10.0)
        assert not signer.enabled
        assert signer.sign("e1", "GET", "/", [], b"") == []


class TestForged:
    """An attacker on the network sends a request that no peer signed.

    A forged message could move keys, and a forged request could run as any
    member.
    """

    @pytest.mark.parametrize(
        ("method", "path", "change"),
        [
            ("PUT", "/forward/s/1", None),
            ("POST", "/forward/s/2", None),
            ("POST", "/forward/s/1?a", None),
            ("POST", "/forward/s/1", ("x-mimosastile-member", "rival")),
            ("POST", "/forward/s/1", ("x-mimosastile-body-digest", "00")),
            ("POST", "/forward/s/1", ("x-mimosastile-auth", "old:1:2:3")),
            ("POST", "/forward/s/1", ("x-mimosastile-auth", "")),
            ("POST", "/forward/s/1", ("x-mimosastile-auth", ":::")),
            ("POST", "/forward/s/1", ("added", "header")),
        ],
    )
    def test_changed_part(self, method, path, change):
        """The signature covers each part."""
        sent = _signed_headers(_signer("e0"))
        if change:
            sent = [h for h in sent if h[0] != change[0]] + [change]
        assert not _signer("e1").check(method, path, sent)

    @pytest.mark.parametrize(
        ("signer", "to"),
        [
            (_signer("e0", {"old": NEW}), "e1"),
            (_signer("e0", {"other": OLD}, "other"), "e1"),
            (_signer("e0"), "e2"),
        ],
    )
    def test_wrong_key_or_receiver(self, signer, to):
        """A message signed for one VM is refused by another."""
        sent = _signed_headers(signer, to)
        assert not _signer("e1").check("POST", "/forward/s/1", sent)

    def test_two_signatures(self):
        """Two signatures are ambiguous and refused."""
        signer = _signer("e0")
        sent = _signed_headers(signer) + signer.sign(
            "e1", "POST", "/p", [], b""
        )
        assert not _signer("e1").check("POST", "/forward/s/1", sent)


class TestReplayed:
    """An attacker records a valid message and replays it later.

    An approval would run twice.
    """

    @pytest.mark.parametrize("after", [0.0, 0.00004, 0.0004])
    def test_just_after_a_restart(self, after):
        """A peer sends its first message as soon as a daemon has started.

        Time stamps have millisecond resolution. A stamp rounded down was
        earlier than the start, so the receiver refused the message as old.
        """
        wall = _WallClock(1_000_000.0004)
        receiver = _signer("e1", wall=wall)
        wall.now += after
        sent = _signed_headers(_signer("e0", wall=wall))
        assert receiver.check("POST", "/forward/s/1", sent)

    def test_replay(self):
        """A replay is refused, also after the nonce generations rotate."""
        wall = _WallClock()
        sender, receiver = _signer("e0", wall=wall), _signer("e1", wall=wall)
        sent = _signed_headers(sender)
        assert receiver.check("POST", "/forward/s/1", sent)
        for _ in range(4):
            assert not receiver.check("POST", "/forward/s/1", sent)
            wall.now += 5.1
            assert receiver.check(
                "POST", "/forward/s/1", _signed_headers(sender)
            )

    @pytest.mark.parametrize("age", [10.1, -10.1, 1e9])
    def test_old_or_from_the_future(self, age):
        """Stamps outside of the window are refused."""
        wall = _WallClock()
        receiver = _signer("e1", wall=_WallClock(wall.now - 100))
        sent = _signed_headers(_signer("e0", wall=wall))
        receiver._wall.now = wall.now + age
        assert not receiver.check("POST", "/forward/s/1", sent)

    def test_from_before_a_restart(self):
        """A restarted daemon has no nonces and refuses older messages."""
        wall = _WallClock()
        sent = _signed_headers(_signer("e0", wall=wall))
        wall.now += 1
        receiver = _signer("e1", wall=wall)
        assert not receiver.check("POST", "/forward/s/1", sent)

    @pytest.mark.parametrize("stamp", ["nan", "inf", "-1", "1e9", "", "٣"])
    def test_malformed_stamp(self, stamp):
        """A malformed time stamp is refused."""
        signer = _signer("e0")
        assert not signer._is_fresh(stamp)


class TestSecrets:
    """Error messages about invalid settings are logged and displayed."""

    def test_no_secret_is_shown(self, tmp_path):
        """Neither errors nor the representation of settings show secrets."""
        text = (
            '[vm]\nid="e"\nregion="r"\nzone="z"\n[platform]\n'
            'store="http://1"\nfleet="http://1"\n[peers]\nsign_with="a"\n'
            '[peers.keys]\na="hush"\n'
        )
        path = tmp_path / "settings.toml"
        path.write_text(text)
        message = settings.load(path).unwrap_err()
        assert "peers.keys" in message and "hush" not in message
        path.write_text(text.replace("hush", "hush" * 8))
        loaded = settings.load(path).unwrap()
        assert "hush" not in repr(loaded)
        path.write_text(text.replace("hush", "hush" * 8).replace('"a"', '"b"'))
        message = settings.load(path).unwrap_err()
        assert "sign_with" in message and "hush" not in message
