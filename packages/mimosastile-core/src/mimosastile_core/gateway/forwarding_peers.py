"""Chooses the peer through which a request reaches its target.

A VM without a path to a target may forward a request to a peer that has one.
Which peers have is known from a leader, some tenths of a second late, and from
what peers answered.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import zlib

import msgspec

_SILENT_SECONDS = 1.0
"""Time for which a peer that did not respond gets no requests."""
_UNREACHABLE_SECONDS = 0.5
"""Time for which a peer that does not reach a service gets none for it: two
reports, after which a leader no longer lists it."""
_ZONE_HANDICAP = 2
"""Requests under way at a peer in the own zone that weigh as much as the way to
another zone."""
_REGION_HANDICAP = 8
"""The same for another region."""
MAX_LISTED = 8
"""Peers that a leader lists for one VM: enough to spread its requests."""


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """A VM that may forward requests.

    Attributes:
        address: Address at which it listens for its peers.
        zone: Its availability zone.
    """

    address: str
    zone: str


def nearest(
    peers: Iterable[Peer], vm: str, zone: str, regions: Mapping[str, str]
) -> tuple[Peer, ...]:
    """Returns the peers to list for a VM, the nearest first.

    Args:
        peers: All that reach what the VM does not.
        vm: Identifier of the VM. Others get other peers of the same distance.
        zone: Its zone.
        regions: Region of each zone.
    """

    def order(peer: Peer) -> tuple[bool, bool, int]:
        return (
            peer.zone != zone,
            regions.get(peer.zone) != regions.get(zone),
            zlib.crc32(f"{vm}/{peer.address}".encode()),
        )

    return tuple(sorted(peers, key=order)[:MAX_LISTED])


class ForwardingPeers:
    """The peers of one VM, and what it knows of their use."""

    __slots__ = ("_excluded_until", "_regions", "_under_way", "_zone")

    def __init__(self, zone: str, regions: Mapping[str, str]) -> None:
        """Creates a record without peers.

        Args:
            zone: Zone of this VM.
            regions: Region of each zone.
        """
        self._zone = zone
        self._regions = regions
        self._under_way: dict[str, int] = {}
        self._excluded_until: dict[tuple[str, str], float] = {}

    def choose(
        self,
        peers: Iterable[Peer],
        service: str,
        regions: Collection[str],
        tried: Collection[str],
        now: float,
    ) -> Peer | None:
        """Returns the peer that gets a request, None without a usable one.

        Args:
            peers: The peers that are known.
            service: Service of the request.
            regions: Regions in which the request may be processed; empty for
                all.
            tried: Addresses of the peers that had the request before.
            now: Current time.
        """
        usable = [
            peer
            for peer in peers
            if peer.address not in tried
            and (not regions or self._regions.get(peer.zone) in regions)
            and self._is_usable(peer.address, service, now)
        ]
        return min(usable, key=self._cost, default=None)

    def begin(self, address: str) -> None:
        """Records that a request is forwarded to a peer."""
        self._under_way[address] = self._under_way.get(address, 0) + 1

    def end(self, address: str) -> None:
        """Records that a forwarded request has ended."""
        left = self._under_way.pop(address) - 1
        if left:
            self._under_way[address] = left

    def record_silent(self, address: str, now: float) -> None:
        """Records that a peer took no connection or did not respond."""
        self._exclude(address, "", now + _SILENT_SECONDS, now)

    def record_unreachable(
        self, address: str, service: str, now: float
    ) -> None:
        """Records that a peer does not reach a service either."""
        self._exclude(address, service, now + _UNREACHABLE_SECONDS, now)

    def _exclude(
        self, address: str, service: str, until: float, now: float
    ) -> None:
        self._excluded_until = {
            key: end for key, end in self._excluded_until.items() if end > now
        }
        self._excluded_until[address, service] = until

    def _is_usable(self, address: str, service: str, now: float) -> bool:
        return not any(
            self._excluded_until.get((address, of), now) > now
            for of in ("", service)
        )

    def _cost(self, peer: Peer) -> tuple[int, int]:
        under_way = self._under_way.get(peer.address, 0)
        handicap = 0
        if peer.zone != self._zone:
            same_region = self._regions.get(peer.zone) == self._regions.get(
                self._zone
            )
            handicap = _ZONE_HANDICAP if same_region else _REGION_HANDICAP
        return under_way + handicap, zlib.crc32(peer.address.encode())
