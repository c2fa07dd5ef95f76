"""Settings of a gateway daemon, in the project's own names.

An adapter fills the places, addresses and the platform's bounds in; the other
settings have defaults that suit the deployments described in
`docs/PLATFORM.md`.
"""

from typing import Annotated

import msgspec

from mimosastile_core.gateway import leadership
from mimosastile_core.gateway import load_balancing
from mimosastile_core.gateway import rebalance

Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings: unknown keys are mistakes."""


class VmSettings(_Strict, frozen=True):
    """Who this VM is and where it listens.

    Attributes:
        id: Its identifier.
        zone: Its availability zone.
        region: Region of the zone.
        regions: Region of each availability zone.
        ip: Address that peers reach.
        callers: Host and port for callers.
        readiness: Host and port for the balancer's question.
        peers: Host and port for other entry VMs.
        metrics: Host and port for metrics and the state dump.
        strength: From 0 to 1, how well its processor and link suit a leader.
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
    """What the platform promises and demands, in seconds where not said.

    Attributes:
        drain: From the acknowledgement of a target's leaving to its last new
            request.
        grace: From the request to stop to the forced end of a process.
        hold_most: Longest grant that targets accept.
        retry_ratio: Repeated sends allowed per request.
        retry_window: Over which they are counted.
        retry_fixed: Repeated sends allowed besides, all VMs together.
        configuration: From the acknowledgement of a version until requests are
            handled by it.
        evacuation: From the acknowledgement of an evacuation to the last
            request that a target of the zone gets.
    """

    drain: Positive = 2.0
    grace: Positive = 6.0
    hold_most: Positive = 10.0
    retry_ratio: float = 0.2
    retry_window: Positive = 10.0
    retry_fixed: float = 60.0
    configuration: Positive = 2.0
    evacuation: Positive = 5.0


class LeaderSettings(_Strict, frozen=True):
    """Times of leadership and grants, in seconds.

    Attributes:
        authority: How long one look at the store allows a leader to go on.
            Longer than the usual outage of a store, so that an outage costs no
            keys; it is also what a successor that got no word from the leader
            waits before keys of a silent target move.
        unextended: The same until all witnesses of the leader have found the
            store unreachable too. A successor that hears one witness which
            did not waits only this long.
        extension_after: Time after which an unanswered look counts as failed,
            and within which witnesses try to reach the store.
        confirm: Between two such looks. Each is a call that is paid for. With
            the timeout of one, a cut is found and another VM leads within two
            seconds, before the usual grants run out.
        hold: Length of a grant while all is well. The keys of a target that
            died without a word wait for it to run out; a new leader has to
            renew within it.
        renew: Between two renewals of a grant: four within its length.
        renew_slowest: The longest time between two renewals, where there are
            many ranges. Well below the time in which a target starts again.
        orders_per_second: Renewals of one service that a leader sends at
            most, as long as none is later than that.
        order_timeout: Longest wait for the answer to a grant. Three times the
            way to the far region and back.
        give_up: Silence of a target after which it is not renewed any more, so
            that its keys can run out.
        give_up_alive: The same for a target that answers callers. Its last
            grant runs out soon after; until then it serves.
        trouble_after: Time without the store after which grants are made
            longer: one look and most of its timeout. If the leader dies in an
            outage, keys that were not given longer by then are refused until
            it is over.
        report: Between two reports of a VM to its leader. The leader sees a
            hot key within about this time and a half.
        report_per_vm: Added to `report` for each VM, so that the leader's
            work does not grow with the number of VMs.
        suspect: Silence of the leader after which a VM takes over.
        weak_wait: What a VM of no strength waits before it takes over. A
            leader hears every VM several times a second; on a small link or
            processor its orders leave late, and VMs hear of changes late.
        rank_wait: What each further VM waits besides, so that one of them is
            first.
        settle: For a first table: time without a new target. Targets register
            over some seconds, and a table for the first few would give them
            all keys.
        settle_most: Longest wait for that.
        plan: Between two looks at the balance of load.
        heat_fast: Time constant of the counts that show a sudden hot run.
        heat_slow: Time constant of the counts that show lasting unevenness.
    """

    authority: Positive = 10.0
    unextended: Positive = 2.5
    extension_after: Positive = 0.6
    confirm: Positive = 0.5
    hold: Positive = 2.0
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

    def pace(self, ranges: int) -> leadership.RenewalPace:
        """Returns the pace of renewals for a number of ranges."""
        return leadership.paced(
            ranges,
            leadership.RenewalPace(self.renew, self.hold),
            self.renew_slowest,
            self.orders_per_second,
        )


class StoreSettings(_Strict, frozen=True):
    """How the store is called, in seconds.

    Attributes:
        address: Host and port.
        timeout: Longest wait for one call.
        watch_wait: Longest wait of one watch; a watch that is silent for much
            longer has lost its connection.
        watch_wait_leading: The same for a leader, by whose view all others
            route. What it does not hear for so long, and as long again for the
            answer, no VM may act on in time.
        watch_pause: After a watch has brought something; several changes then
            cost one call. Far less than the time within which a change has to
            be in force.
        retry_least: Pause after the first failed call; doubles.
        retry_most: Longest such pause.
        session: Length of the lease of a VM's own entry.
    """

    address: str
    timeout: Positive = 1.0
    watch_wait: Positive = 8.0
    watch_wait_leading: Positive = 1.0
    watch_pause: float = 0.25
    retry_least: Positive = 0.1
    retry_most: Positive = 0.8
    session: Positive = 10.0


class RequestSettings(_Strict, frozen=True):
    """How requests are passed on, in seconds where not said.

    Attributes:
        connect: Longest wait for a connection to a target. A lost opening
            packet is sent again after a second; another target is sooner.
        idle: Longest rest of a connection that is used again for an
            idempotent request.
        idle_careful: The same for a request that must not run twice; a
            connection that has died meanwhile would leave its fate unknown.
        buffer_bytes: Answers up to this size are taken whole before they are
            passed on, so that one that breaks off can be asked for again.
        margin: Kept from the deadline for the way back to the caller.
        retry_after_least: Shortest Retry-After.
        own_connections: Share of a target's connections over the number of
            VMs that one VM may use; callers are not spread evenly.
        silent: Unacknowledged data for this long ends a connection, by the
            kernel.
    """

    connect: Positive = 0.3
    idle: Positive = 5.0
    idle_careful: Positive = 0.25
    buffer_bytes: int = 1 << 20
    margin: Positive = 0.012
    retry_after_least: Positive = 0.05
    own_connections: Positive = 2.0
    silent: Positive = 2.0


class StopSettings(_Strict, frozen=True):
    """The graceful stop, in seconds.

    Attributes:
        notice: How long new connections are still taken after readiness has
            turned bad: two missed questions a second apart, and some more.
        reserve: Kept from the time that is granted to stop.
    """

    notice: Positive = 3.0
    reserve: Positive = 0.4


class GatewaySettings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of a gateway daemon.

    All parts of a daemon hold the same object. A section is replaced as a
    whole when the settings change, so whoever looks into it sees the new one.
    """

    vm: VmSettings
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    leader: LeaderSettings = LeaderSettings()
    requests: RequestSettings = RequestSettings()
    stop: StopSettings = StopSettings()
    rooms: load_balancing.Policy = load_balancing.Policy()
    balance: rebalance.Policy = rebalance.Policy()
