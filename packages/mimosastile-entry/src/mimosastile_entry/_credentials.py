"""Which member a caller's credential belongs to."""

import hashlib
import hmac

from mimosastile_entry import _state


class Credentials:
    """Members by the digest of their bearer tokens."""

    __slots__ = ("_members", "_state")

    def __init__(self, state: _state.StateService) -> None:
        """Follows the configuration.

        Args:
            state: The state service.
        """
        self._state = state
        self._members: dict[bytes, tuple[bytes, str]] = {}
        state.replica.subscribe(self._index)
        self._index()

    def member_of(self, authorization: bytes) -> str | None:
        """Returns the member that a credential belongs to, None if unknown.

        Tokens are looked up by digest alone, so the time that it takes tells
        nothing about how much of a guess is right.

        Args:
            authorization: The value of the header.
        """
        scheme, _, token = authorization.partition(b" ")
        token = token.strip()
        if scheme.lower() != b"bearer" or not token:
            return None
        digest = hashlib.sha256(token).digest()
        found = self._members.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return None
        return found[1]

    def _index(self) -> None:
        members = self._state.replica.config.document.members
        self._members = {
            bytes.fromhex(text): (bytes.fromhex(text), name)
            for name, member in members.items()
            for text in member.credentials
        }
