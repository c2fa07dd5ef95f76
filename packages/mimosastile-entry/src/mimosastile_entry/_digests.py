"""Compares state digests with peers (anti-entropy).

This recovers the updates that dissemination by push has missed.
"""

import asyncio
from collections.abc import Iterable
import functools
from typing import Any

from mimosastile_core import gossip
from mimosastile_core import messages
from mimosastile_entry import _background
from mimosastile_entry import _fleet
from mimosastile_entry import _inbox
from mimosastile_entry import _membership
from mimosastile_entry import _propagation
from mimosastile_entry import _state
from mimosastile_entry import kernel
from mimosastile_entry import ports

_MEAN_INTERVAL_SECONDS = 0.8
"""Mean interval between two exchanges in the zone."""


class DigestService:
    """Exchanges digests with peers and fetches newer state from them."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_newer_found",
        "_membership",
        "_propagation",
        "_state",
        "_tasks",
        "_vm",
        "_zone",
        "name",
        "needs",
    )

    def __init__(self, vm: str, zone: str) -> None:
        """Makes the service.

        Args:
            vm: Identifier of this VM.
            zone: Its availability zone.
        """
        self.name = "digests"
        self.needs: tuple[str, ...] = ("propagation", "inbox")
        self._vm = vm
        self._zone = zone
        self._newer_found = 0
        self._tasks = _background.Background()
        self._clock: ports.ClockPort
        self._state: _state.StateService
        self._fleet: _fleet.FleetService
        self._membership: _membership.MembershipService
        self._propagation: _propagation.PropagationService

    async def start(self, kernel: kernel.Kernel) -> None:
        """Starts the exchange of digests."""
        self._clock = kernel.find("clock")
        self._state = kernel.find("state")
        self._fleet = kernel.find("fleet")
        self._membership = kernel.find("membership")
        self._propagation = kernel.find("propagation")
        inbox: _inbox.InboxService = kernel.find("inbox")
        inbox.handle(messages.Digest, self._receive_digest)
        for step in (self._compare_in_zone, self._compare_across_zones):
            self._tasks.keep(
                functools.partial(_background.forever, step), "digests"
            )

    async def stop(self) -> None:
        """Stops the exchange of digests."""
        self._tasks.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns how often a peer had newer state."""
        return {"found": self._newer_found}

    def _live_zone_vms(self) -> set[str]:
        return set(self._membership.alive(self._zone))

    def _jitter(self, seconds: float) -> float:
        return seconds * (0.75 + self._clock.random() / 2)

    def _digest(self) -> messages.Digest:
        readings = self._fleet.listings
        return messages.Digest(
            self._vm,
            self._state.replica.config.number,
            self._state.replica.tables_digest(),
            readings.reader,
            readings.number,
            readings.age(self._clock.now()),
        )

    def _receive_digest(self, digest: messages.Digest) -> messages.Digest:
        self._confirm(digest)
        return self._digest()

    def _confirm(self, digest: messages.Digest) -> None:
        self._fleet.listings.confirm(
            digest.reader,
            digest.list_number,
            digest.list_age,
            self._clock.now(),
        )

    async def _compare_in_zone(self) -> None:
        await asyncio.sleep(self._jitter(_MEAN_INTERVAL_SECONDS))
        peer = self._choose_peer(self._live_zone_vms() - {self._vm})
        if peer is not None:
            await self._compare(peer)

    async def _compare_across_zones(self) -> None:
        interval = gossip.far_interval(
            _MEAN_INTERVAL_SECONDS, len(self._live_zone_vms())
        )
        await asyncio.sleep(self._jitter(interval))
        peer = self._choose_peer(
            vm.id
            for vm in self._fleet.fleet.entries.values()
            if vm.zone != self._zone and not self._membership.suspects(vm.id)
        )
        if peer is None:
            return
        delta, listed = await self._compare(peer)
        # The whole zone may be cut off from the platform and miss it too.
        if delta is not None:
            self._propagation.push(delta)
        if listed:
            self._propagation.push_listing()

    def _choose_peer(self, vms: Iterable[str]) -> str | None:
        choices = sorted(vms)
        if not choices:
            return None
        return choices[int(self._clock.random() * len(choices)) % len(choices)]

    async def _compare(self, peer: str) -> tuple[messages.Delta | None, bool]:
        """Compares digests and fetches newer state from the peer."""
        reply = await self._propagation.call(peer, self._digest())
        if not isinstance(reply, messages.Digest):
            return None, False
        self._confirm(reply)
        return await self._fetch_state(peer, reply), await self._fetch_list(
            peer, reply
        )

    async def _fetch_state(
        self, peer: str, digest: messages.Digest
    ) -> messages.Delta | None:
        replica = self._state.replica
        ahead = digest.config_number > replica.config.number
        if not ahead and digest.tables == replica.tables_digest():
            return None
        delta = await self._propagation.call(peer, replica.pull(self._vm))
        if not isinstance(delta, messages.Delta) or not replica.merge(delta):
            return None
        self._newer_found += 1
        return delta

    async def _fetch_list(self, peer: str, digest: messages.Digest) -> bool:
        if not self._fleet.listings.is_newer(
            digest.reader,
            digest.list_number,
            digest.list_age,
            self._clock.now(),
        ):
            return False
        listing = await self._propagation.call(
            peer, messages.AskListing(self._vm)
        )
        return isinstance(listing, messages.Listing) and self._fleet.apply(
            listing
        )
