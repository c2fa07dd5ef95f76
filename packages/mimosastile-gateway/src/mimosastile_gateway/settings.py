"""Settings of a gateway daemon, independent of the platform's settings file.

The platform's adapter fills in locations, addresses and the platform's bounds.
The other settings have defaults for the deployments described in
`docs/PLATFORM.md`.
"""

from typing import Annotated

import msgspec

from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import rebalance

Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all sections of settings; rejects unknown keys."""


class VmSettings(_Strict, frozen=True):
    """Identity, location and addresses of this VM.

    Attributes:
        id: Identifier of the VM.
        zone: Availability zone of the VM.
        region: Region of the zone.
        regions: Region of each availability zone.
        ip: IP address at which peers reach the VM.
        callers: Host and port for callers.
        readiness: Host and port for the load balancer's readiness check.
        peers: Host and port for other entry VMs.
        metrics: Host and port for metrics and the state dump.
        strength: Suitability of its processor and link for a leader, from 0
            to 1.
    """

    id: str
    zone: str
    region: str
    regions: dict[str, str]
    ip: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    strength: float = 1.0


class BoundSettings(_Strict, frozen=True):
    """The platform's guarantees and requirements, in seconds unless stated.

    Attributes:
        drain: Maximum time from the acknowledgement that a target is leaving
            to its last new request.
        grace: Time from a stop signal until the process is killed.
        hold_most: Longest grant duration that targets accept.
        retry_ratio: Retry budget as a number of retries per request.
        retry_window: Window over which the retry budget is computed.
        retry_fixed: Retries allowed in addition, for all VMs together.
        configuration: Maximum time from the acknowledgement of a configuration
            version until it applies to all requests.
        evacuation: Maximum time from the acknowledgement of a zone's
            evacuation to the last request sent to a target of the zone.
        registration: Maximum time from the end of a target to the removal of
            its registration.
    """

    drain: Positive = 2.0
    grace: Positive = 6.0
    hold_most: Positive = 10.0
    retry_ratio: float = 0.2
    retry_window: Positive = 10.0
    retry_fixed: float = 60.0
    configuration: Positive = 2.0
    evacuation: Positive = 5.0
    registration: Positive = 4.5


class LeaderSettings(_Strict, frozen=True):
    """Timing of leader election and grants, in seconds unless stated.

    Attributes:
        authority: Leader lease that one confirmation from the store gives.
            Longer than a usual outage of the store, so that an outage makes no
            keys unavailable. A successor that received no message from the
            leader waits as long before it moves keys of a silent target.
        unextended: Leader lease until all witnesses of the leader have found
            the store unreachable too. A successor waits only this long if one
            witness reports that it has not found the store unreachable.
        extension_after: Time after which an unanswered confirmation counts as
            failed, and within which witnesses try to reach the store.
        confirm: Interval between two confirmations. Each is a billed call to
            the store. Interval and timeout together detect a partition, and
            let another VM lead, within two seconds: before grants of usual
            duration expire.
        hold: Grant duration in normal operation. The keys of a target that
            crashed stay unavailable until its grant expires; a new leader has
            to renew grants within this time.
        longest_hold: Longest duration of a grant that is extended in an outage
            of the store, declared in the leader's entry. While the leader lives
            it renews such grants until its lease expires. Keys outlive a leader
            that crashes in the outage by this time, and a successor to which
            nobody can report waits for it.
        renew: Interval between two renewals of a grant: four per duration.
        renew_slowest: Longest interval between two renewals, for many ranges.
            Well below the time in which a target restarts.
        orders_per_second: Rate limit of a leader's renewals for one service,
            as long as it keeps the interval within `renew_slowest`.
        order_timeout: Timeout of a grant's response: three round trips to the
            remote region.
        give_up: Silence of a target after which its grants are not renewed, so
            that they expire.
        give_up_alive: The same for a target that responds to callers. It
            serves until its last grant expires soon after.
        trouble_after: Time without the store after which extended grants are
            issued: one confirmation and most of its timeout. If the leader
            crashes during an outage, keys without an extended grant are
            refused until the outage ends.
        report: Base interval between two load reports of a VM to its leader.
            The leader detects a hot key within about 1.5 intervals.
        report_per_vm: Added to `report` for each VM, so that the leader's
            work does not grow with the number of VMs.
        suspect: Silence of the leader after which a VM starts to take over.
        weak_wait: Delay before a VM of strength 0 takes over. A leader
            receives several reports a second from every VM; on a small link or
            processor it would send its orders and updates late.
        rank_wait: Additional delay of each further candidate VM, so that one
            of them is first.
        settle: Time without a new target before the first table is made.
            Targets register over several seconds, and a table for the first
            few would assign all keys to them.
        settle_most: Maximum wait for the first table.
        plan: Interval between two checks of the balance of load.
        heat_fast: Time constant of request rates that show a sudden hot spot.
        heat_slow: Time constant of request rates that show lasting imbalance.
        heat_steady: The same for imbalance that is less than chance over
            `heat_slow`, but of weight where targets are near their capacity.
    """

    authority: Positive = 10.0
    unextended: Positive = 2.5
    extension_after: Positive = 0.6
    confirm: Positive = 0.5
    hold: Positive = 2.0
    longest_hold: Positive = 6.0
    renew: Positive = 0.5
    renew_slowest: Positive = 1.0
    orders_per_second: Positive = 1000.0
    order_timeout: Positive = 0.25
    give_up: Positive = 0.7
    give_up_alive: Positive = 1.7
    trouble_after: Positive = 1.6
    report: Positive = 0.2
    report_per_vm: float = 0.004
    suspect: Positive = 0.8
    weak_wait: Positive = 1.5
    rank_wait: Positive = 0.3
    settle: Positive = 1.5
    settle_most: Positive = 5.0
    plan: Positive = 0.25
    heat_fast: Positive = 1.0
    heat_slow: Positive = 6.0
    heat_steady: Positive = 20.0

    def renewal_pace(self, ranges: int) -> leadership.RenewalPace:
        """Returns interval and duration of grants for a number of ranges."""
        return leadership.renewal_pace(
            ranges,
            leadership.RenewalPace(self.renew, self.hold),
            self.renew_slowest,
            self.orders_per_second,
        )


class StoreSettings(_Strict, frozen=True):
    """Calls to the store, in seconds unless stated.

    Attributes:
        address: Host and port.
        timeout: Timeout of one call.
        watch_wait: Longest wait of one watch; a watch without a response for
            much longer has lost its connection.
        watch_wait_leading: The same for a leader, whose view all other VMs
            route by. A change that the leader misses for this wait, and as long
            again for the response, may reach all VMs too late.
        watch_pause: Pause after a watch returned changes, so that several
            changes cost one call. Far shorter than the time within which a
            change has to be in force.
        retry_least: Backoff after the first failed call; doubles.
        retry_most: Longest backoff.
        session: Duration of the lease of a VM's own entry.
        view_age_most: Age from which a view of the store is outdated. A leader
            replaces a silent watch, and learns of changes by the next one,
            within that time.
    """

    address: str
    timeout: Positive = 1.0
    watch_wait: Positive = 8.0
    watch_wait_leading: Positive = 1.0
    watch_pause: float = 0.25
    retry_least: Positive = 0.1
    retry_most: Positive = 0.8
    session: Positive = 10.0
    view_age_most: Positive = 4.0


class RequestSettings(_Strict, frozen=True):
    """Forwarding of requests, in seconds unless stated.

    Attributes:
        connect: Connect timeout to a target. A lost SYN packet is
            retransmitted after a second; trying another target is faster.
        idle: Longest idle time of a connection reused for an idempotent
            request.
        idle_careful: The same for a request that must not run twice. If the
            connection broke meanwhile, it would be unknown whether the request
            ran.
        buffer_bytes: Responses up to this size are received whole before they
            are passed on, so that a request whose response breaks off can be
            retried.
        margin: Part of the deadline kept for sending the response.
        retry_after_least: Shortest Retry-After.
        own_connections: Factor on a VM's even share of a target's
            connections, as callers are not spread evenly over VMs.
        silent: Time of unacknowledged data after which the kernel ends a
            connection.
        memory_bytes: Bytes held for callers and targets up to which large
            bodies are accepted, 0 for no bound.
        unfinished_head_bytes: Memory for heads that have not arrived whole, 0
            for no bound. At the bound, those that began first are refused.
        stream: Longest time for which a response is streamed to a caller that
            names no earlier deadline.
    """

    connect: Positive = 0.3
    idle: Positive = 5.0
    idle_careful: Positive = 0.25
    buffer_bytes: int = 1 << 20
    margin: Positive = 0.012
    retry_after_least: Positive = 0.05
    own_connections: Positive = 2.0
    silent: Positive = 2.0
    memory_bytes: int = 0
    unfinished_head_bytes: int = 0
    stream: Positive = 300.0


class ConnectionSettings(_Strict, frozen=True):
    """Most connections that a listener keeps open, 0 for no bound.

    At the bound, connections that wait for requests give way to new ones.

    Attributes:
        callers: Connections of callers.
        peers: Connections of other entry VMs.
        control: Connections for readiness, and as many for metrics.
    """

    callers: int = 0
    peers: int = 0
    control: int = 0


class StopSettings(_Strict, frozen=True):
    """The graceful stop, in seconds.

    Attributes:
        notice: Time during which new connections are still accepted after
            readiness has failed: two failed checks of the load balancer a
            second apart, and a margin.
        reserve: Margin kept before the end of the grace time.
    """

    notice: Positive = 3.0
    reserve: Positive = 0.4


class GatewaySettings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of a gateway daemon.

    All services of a daemon share one object. A section is replaced as a whole
    when the settings change, so every service reads the new values.
    """

    vm: VmSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    leader: LeaderSettings = LeaderSettings()
    requests: RequestSettings = RequestSettings()
    connections: ConnectionSettings = ConnectionSettings()
    stop: StopSettings = StopSettings()
    rooms: load_balancing.Policy = load_balancing.Policy()
    balance: rebalance.Policy = rebalance.Policy()
