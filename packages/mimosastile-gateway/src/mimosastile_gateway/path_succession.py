"""Replaces a leader that reaches no owners of keys by a VM that does.

Grants cannot be renewed without a path to their owners, and no other VM may
renew them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable

from mimosastile_core.gateway import path_proofs
from mimosastile_gateway import background_tasks
from mimosastile_gateway import clock
from mimosastile_gateway import cluster_state
from mimosastile_gateway import dissemination
from mimosastile_gateway import events
from mimosastile_gateway import messages
from mimosastile_gateway import reach_monitoring

_VERIFY_SECONDS = 1.0
"""Interval in which a leader verifies which owners take no connection."""
_CLEAR_SECONDS = 1.0
"""Time without a need after which the record of the VMs asked is reset. A path
that comes and goes would otherwise lead to requests to the same VMs only."""


def isolated_services(
    cluster: cluster_state.ClusterState, monitor: reach_monitoring.ReachMonitor
) -> list[str]:
    """Returns the services divided by key of which a VM reaches no target."""
    configuration = cluster.configuration
    if configuration is None:
        return []
    return [
        service.name
        for service in configuration.services.values()
        if service.keyed and monitor.is_isolated(service.name)
    ]


class PathSuccession:
    """Asks VMs to lead while the leader lacks a path to owners."""

    __slots__ = (
        "_clock",
        "_cluster",
        "_disseminator",
        "_events",
        "_monitor",
        "_needed_at",
        "_selection",
        "_tasks",
        "_unreached",
        "_verified_at",
        "_verifying",
        "_vm",
        "proof",
    )

    def __init__(
        self,
        vm: str,
        cluster: cluster_state.ClusterState,
        monitor: reach_monitoring.ReachMonitor,
        disseminator: dissemination.Disseminator,
        timer: clock.Clock,
        log: events.EventLog,
    ) -> None:
        """Creates the succession of a VM that has asked nobody.

        Args:
            vm: Identifier of this VM.
            cluster: This VM's view of the cluster.
            monitor: Knows the targets that this VM does not reach.
            disseminator: Sends requests to VMs and has their reports.
            timer: The clock.
            log: The event log.
        """
        self._vm = vm
        self._cluster = cluster
        self._monitor = monitor
        self._disseminator = disseminator
        self._clock = timer
        self._events = log
        self._tasks = background_tasks.BackgroundTasks(log)
        self._needed_at = float("-inf")
        self._selection = path_proofs.PathSuccessors()
        self._unreached: list[str] = []
        self._verified_at = float("-inf")
        self._verifying: asyncio.Task[None] | None = None
        self.proof: path_proofs.PathProof | None = None

    def clear(self) -> None:
        """Resets the record of the VMs asked, at the begin or end of a term."""
        self._selection.clear()
        self.proof = None
        self._unreached = []
        if self._verifying is not None:
            self._verifying.cancel()
            self._verifying = None

    def proof_for(self, vm: str) -> path_proofs.PathProof | None:
        """Returns what a VM has to prove before it leads.

        Returns:
            The proof; None if the VM is not asked to lead.
        """
        return self.proof if vm in self._selection.asked else None

    def update(self, cut_off: Iterable[str]) -> None:
        """Asks VMs to lead if this leader lacks a path.

        Args:
            cut_off: Owners that take no orders from this VM, and that have
                responded to other VMs since.
        """
        isolated = isolated_services(self._cluster, self._monitor)
        owners = self._verified(cut_off)
        self.proof = path_proofs.needed_proof(isolated, owners)
        now = self._clock.boottime()
        if self.proof is None:
            if now - self._needed_at > _CLEAR_SECONDS:
                self._selection.clear()
            return
        self._needed_at = now
        candidates = self._candidates()
        asked = self._selection.next(
            [path_proofs.Candidate(vm.id, vm.zone) for vm in candidates], now
        )
        if not asked:
            return
        self._disseminator.request_takeover(
            (vm for vm in candidates if vm.id in asked), self.proof
        )
        self._events.write(
            "leader",
            "asks_successor_with_path",
            successors=asked,
            isolated=isolated,
            cut_off=owners,
        )

    def _verified(self, cut_off: Iterable[str]) -> list[str]:
        """Returns the owners that have taken no connection for a proof.

        An order may have failed at a target that was full or down and is back,
        or whose address belongs to another one now.
        """
        owners = [
            owner
            for owner in cut_off
            if not self._monitor.has_responded(owner)
            and self._cluster.directory.get(owner) is not None
        ]
        now = self._clock.boottime()
        if len(owners) > 1 and now - self._verified_at > _VERIFY_SECONDS:
            self._verified_at = now
            self._verifying = self._tasks.start(
                "verify-owners", self._verify(owners)
            )
        return [owner for owner in owners if owner in self._unreached]

    async def _verify(self, owners: list[str]) -> None:
        self._unreached = await self._monitor.unreached(owners)

    def _candidates(self) -> list[messages.VmEntry]:
        """Returns VMs that reach the store and may reach more targets."""
        isolated = self._monitor.isolated
        candidates = [
            report.vm
            for report in self._disseminator.fresh().values()
            if report.vm.id != self._vm
            and report.store
            and not report.stopping
            and isolated.isdisjoint(report.isolated)
        ]
        return sorted(candidates, key=lambda vm: (vm.order, vm.id))


class PathProver:
    """Proves the path of a VM that is asked to lead."""

    __slots__ = ("_cluster", "_events", "_monitor", "_proving")

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        monitor: reach_monitoring.ReachMonitor,
        log: events.EventLog,
    ) -> None:
        """Creates a prover.

        Args:
            cluster: This VM's view of the cluster.
            monitor: Attempts to reach targets.
            log: The event log.
        """
        self._cluster = cluster
        self._monitor = monitor
        self._events = log
        self._proving = False

    async def take_over(
        self,
        proof: path_proofs.PathProof,
        take_over: Callable[[], Coroutine[None, None, None]],
    ) -> None:
        """Takes over from the current leader if this VM proves its path.

        Args:
            proof: What the leader does not reach.
            take_over: Takes over as the leader.
        """
        if self._proving:
            return
        self._proving = True
        leader = self._cluster.leader
        try:
            proved = await self._proves(proof)
        finally:
            self._proving = False
        if proved and self._cluster.leader == leader:
            await take_over()

    async def _proves(self, proof: path_proofs.PathProof) -> bool:
        """Whether this VM reaches more than the leader that asks."""
        configuration = self._cluster.configuration
        if configuration is None:
            return False
        keyed = [s.name for s in configuration.services.values() if s.keyed]
        reached, owners_unreached = await asyncio.gather(
            asyncio.gather(
                *(
                    self._monitor.reaches(
                        name, by_connecting=name in proof.services
                    )
                    for name in keyed
                )
            ),
            self._monitor.unreached(proof.owners),
        )
        unreached = [
            name for name, ok in zip(keyed, reached, strict=True) if not ok
        ]
        proved = not owners_unreached and path_proofs.suffices(proof, unreached)
        self._events.write(
            "leader",
            "path_proved" if proved else "path_not_proved",
            services=proof.services,
            owners=proof.owners,
            unreached=unreached,
            owners_unreached=owners_unreached,
        )
        return proved
