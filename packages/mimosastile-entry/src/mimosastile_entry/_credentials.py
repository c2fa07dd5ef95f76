"""Maps callers' credentials to members."""

import hashlib
import hmac

from mimosastile_entry import _state


class Credentials:
    """Index of members by the digest of their bearer tokens."""

    __slots__ = ("_members", "_state")

    def __init__(self, state: _state.StateService) -> None:
        """Builds the index and rebuilds it on configuration changes.

        Args:
            state: The state service.
        """
        self._state = state
        self._members: dict[bytes, tuple[bytes, str]] = {}
        state.replica.subscribe(self._rebuild_index)
        self._rebuild_index()

    def member_of(self, authorization: bytes) -> str | None:
        """Returns the member that a credential belongs to, None if unknown.

        The lookup uses the digest alone, so its timing does not reveal how
        much of a guessed token is correct.

        Args:
            authorization: The value of the Authorization header.
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

    def _rebuild_index(self) -> None:
        members = self._state.replica.config.document.members
        self._members = {
            bytes.fromhex(text): (bytes.fromhex(text), name)
            for name, member in members.items()
            for text in member.credentials
        }
