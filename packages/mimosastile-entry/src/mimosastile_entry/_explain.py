"""Why a request for a key goes where it goes, or is refused."""

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
    held: replica.Replica, listed: fleet.Fleet, name: str, key: str
) -> Explained:
    """Follows the decision that this VM would take now.

    Args:
        held: The VM's configuration and tables.
        listed: The VM's reading of the list of VMs.
        name: Name of the service.
        key: The key.
    """
    service = held.config.document.services.get(name)
    if service is None:
        return result.Err(
            errors.Failure(errors.ErrorKind.UNKNOWN_SERVICE, name)
        )
    position = keys.key_hash(key)
    home = _home(held.table(name), position) if service.key else None
    reasons = list(_reasons(service, listed.targets(name), home, key))
    refused = _refusal(service, listed.targets(name), home)
    sent = home is not None and not refused
    return result.Ok(
        administration.Explanation(
            service=name,
            key=key,
            position=f"{position:016x}",
            target=home.slice.owner if home and sent else "",
            keeper=home.keeper.vm if home and home.keeper and sent else "",
            refused=refused.value if refused else "",
            number=held.config.number,
            reasons=tuple(reasons),
        )
    )


def _home(table: tables.Table | None, position: int) -> tables.Location | None:
    return table.locate(position) if table else None


def _refusal(
    service: config.Service,
    targets: dict[str, fleet.Vm],
    home: tables.Location | None,
) -> errors.ErrorKind | None:
    if service.key is None:
        return None if targets else errors.ErrorKind.NO_TARGET
    if home is None or home.keeper is None or home.slice.owner not in targets:
        return errors.ErrorKind.NO_OWNER
    return None


def _reasons(
    service: config.Service,
    targets: dict[str, fleet.Vm],
    home: tables.Location | None,
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
    if home is None:
        yield "this VM knows no table block over this key yet"
        return
    yield from _slice_reasons(home, targets)


def _slice_reasons(
    home: tables.Location, targets: dict[str, fleet.Vm]
) -> Iterator[str]:
    piece = home.slice
    yield (
        f"the key is in slice {piece.first:016x} to {piece.last:016x} of"
        f" block {home.block.service}/{home.block.index}"
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
    if home.keeper is None:
        yield f"{piece.owner} has no keeper at the moment"
    else:
        yield f"requests go through its keeper {home.keeper.vm}"
