"""Explanation of the routing decision for a key."""

from collections.abc import Iterator

import result

from mimosastile_core import administration
from mimosastile_core import config
from mimosastile_core import errors
from mimosastile_core import fleet
from mimosastile_core import keys
from mimosastile_core import replica
from mimosastile_core import tables

Explained = result.Result[administration.Explanation, errors.Failure]


def explain(
    current: replica.Replica, vms: fleet.Fleet, name: str, key: str
) -> Explained:
    """Explains the routing decision that this VM would make now.

    Args:
        current: The VM's replica of configuration and tables.
        vms: The VM's current view of the list of VMs.
        name: Name of the service.
        key: The key.

    Returns:
        The target and keeper of the key or the kind of refusal, with the
        reasons; `UNKNOWN_SERVICE` if the service is not configured.
    """
    service = current.config.document.services.get(name)
    if service is None:
        return result.Err(
            errors.Failure(errors.ErrorKind.UNKNOWN_SERVICE, name)
        )
    position = keys.key_hash(key)
    location = _locate(current.table(name), position) if service.key else None
    reasons = list(_reasons(service, vms.targets(name), location, key))
    refused = _refusal(service, vms.targets(name), location)
    routed = location is not None and not refused
    return result.Ok(
        administration.Explanation(
            service=name,
            key=key,
            position=f"{position:016x}",
            target=location.slice.owner if location and routed else "",
            keeper=location.keeper.vm
            if location and location.keeper and routed
            else "",
            refused=refused.value if refused else "",
            number=current.config.number,
            reasons=tuple(reasons),
        )
    )


def _locate(
    table: tables.Table | None, position: int
) -> tables.Location | None:
    return table.locate(position) if table else None


def _refusal(
    service: config.Service,
    targets: dict[str, fleet.Vm],
    location: tables.Location | None,
) -> errors.ErrorKind | None:
    if service.key is None:
        return None if targets else errors.ErrorKind.NO_TARGET
    if (
        location is None
        or location.keeper is None
        or location.slice.owner not in targets
    ):
        return errors.ErrorKind.NO_OWNER
    return None


def _reasons(
    service: config.Service,
    targets: dict[str, fleet.Vm],
    location: tables.Location | None,
    key: str,
) -> Iterator[str]:
    live = [vm for vm in targets.values() if vm.state is fleet.VmState.LIVE]
    yield f"{len(targets)} targets are listed, {len(live)} of them live"
    if service.drains:
        yield f"drained by operators: {', '.join(service.drains)}"
    if service.key is None:
        yield "the service is not divided by key: any live target may get it"
        return
    if key in service.moves:
        yield f"operators want this key on {service.moves[key]}"
    if location is None:
        yield "this VM knows no table block over this key yet"
        return
    yield from _slice_reasons(location, targets)


def _slice_reasons(
    location: tables.Location, targets: dict[str, fleet.Vm]
) -> Iterator[str]:
    piece = location.slice
    yield (
        f"the key is in slice {piece.first:016x} to {piece.last:016x} of"
        f" block {location.block.service}/{location.block.index}"
    )
    if not piece.owner:
        yield "the slice has no owner yet"
        return
    yield f"{piece.owner} owns it since version {piece.fence} of the block"
    vm = targets.get(piece.owner)
    if vm is None:
        yield f"{piece.owner} is not listed: it waits for a proof of release"
    elif vm.state is fleet.VmState.LEAVING:
        yield f"{piece.owner} is leaving"
    if piece.next:
        yield f"it moves to {piece.next} as soon as {piece.owner} lets go"
    if location.keeper is None:
        yield f"{piece.owner} has no keeper at the moment"
    else:
        yield f"requests go through its keeper {location.keeper.vm}"
