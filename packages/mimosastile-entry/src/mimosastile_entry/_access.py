"""Access service: authenticates callers of the administration API."""

import result

from mimosastile_core import access
from mimosastile_core import errors
from mimosastile_entry import _state
from mimosastile_entry import kernel

Identified = result.Result[access.Principal, errors.Failure]


class AccessService(kernel.Passive):
    """Identifies operators by their tokens."""

    __slots__ = ("_bootstrap", "_state")

    def __init__(self, bootstrap: str) -> None:
        """Initializes the service.

        Args:
            bootstrap: Digest of the token accepted while the configuration
                declares no operators; empty for none.
        """
        super().__init__("access", ("state",))
        self._bootstrap = bootstrap
        self._state: _state.StateService

    async def start(self, kernel: kernel.Kernel) -> None:
        """Looks up the state service."""
        self._state = kernel.find("state")

    def identify(self, authorization: str) -> Identified:
        """Returns the operator whose token a request carries."""
        document = self._state.replica.config.document
        found = access.identify(authorization, document, self._bootstrap)
        if found is None:
            return result.Err(errors.Failure(errors.ErrorKind.UNAUTHENTICATED))
        return result.Ok(found)
