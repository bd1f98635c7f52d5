"""Worlds of cells that are built for one hard case each; each raises `InvariantViolated` where it ends badly.

They are smaller and harsher than the drawn schedules (`schedules.py`): what is looked at is known.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ....cells.actions import CellLeft
from ....cells.controller import Controller
from ....cells.gateway import MAX_BACKOFF_NS, REFRESH_INTERVAL_NS, Gateway
from ....cells.topology import CellPolicy
from ....membership.identifiers import MS, SECOND
from ..processes import InvariantViolated
from .schedules import SMALL, play
from .world import CelledWorld

START = 20 * SECOND  # ns until all are settled that start at once
RESTLESS = CellPolicy(6, 8, 2, 4, 4_096, 60 * SECOND, 600 * SECOND)  # nothing is merged or replaced meanwhile


def begun(
    seed: int, regions: int, machines: int, each: int, policy: CellPolicy, keep: int = 2 * SECOND
) -> CelledWorld:
    """A fleet that is settled, so many gateways in each of two zones a region."""
    world = CelledWorld(seed, regions, machines, 2, policy=policy, keep=keep)
    world.populate(each)
    world.begin(START)
    return world


def _moves(world: CelledWorld, since: int) -> list[str]:
    return [name for at, name, told in world.told if at > since and isinstance(told, CellLeft)]


def region_cut_off(seed: int) -> None:
    """Two minutes: it goes on by what it has, takes newcomers, and heals without a storm or a move."""
    world = begun(seed, 3, 9, 6, RESTLESS)
    region = f"r{seed % 3}"
    inside = world.among("g", region=region)
    world.cut_off(region, [f"r{n}" for n in range(3) if f"r{n}" != region])
    world.run(12 * SECOND)
    for process in inside[:2]:
        world.kill(process)
        world.start(process)
    world.run(108 * SECOND, every=200 * MS)
    now = world.clock.now
    for process in inside:
        core = process.core
        if not isinstance(core, Gateway) or not core.usable_slots(process.now(now)):
            raise InvariantViolated(f"seed {seed}: {process.name} holds nothing in a region that is cut off")
    since, asked = world.elapsed_ns, world.asks.total()
    world.heal_regions()
    world.run(10 * SECOND)
    most = 2 * len(world.among("g")) * 10 * SECOND // REFRESH_INTERVAL_NS + 10
    if world.asks.total() - asked > most:
        raise InvariantViolated(f"seed {seed}: {world.asks.total() - asked} questions in 10 s after a heal")
    world.until_settled(10 * SECOND)
    if moved := _moves(world, since):
        raise InvariantViolated(f"seed {seed}: {moved} move for a heal")


def out_of_all_reach(seed: int) -> None:
    """No control machine answers: those that are in cells stay, and ask ever less often."""
    world = begun(seed, 1, 3, 5, RESTLESS)
    gateways = [process.name for process in world.among("g")]
    for process in world.among("c"):
        world.kill(process)
    asked = world.asks.total()
    world.run(60 * SECOND)
    most = len(gateways) * (60 * SECOND // MAX_BACKOFF_NS + 12)
    if world.asks.total() - asked > most:
        raise InvariantViolated(
            f"seed {seed}: {world.asks.total() - asked} questions in a minute without answers"
        )
    since = world.elapsed_ns
    for process in world.among("c"):
        world.start(process)
    world.until_settled(START)
    if moved := _moves(world, since):
        raise InvariantViolated(f"seed {seed}: {moved} move though their cells are as they were")


def zone_cut_off(seed: int) -> None:
    """For a minute no control machine and no gateway of a zone hear one another: to the former it looks like
    the zone's loss, and still the latter come back to the cells that they are in."""
    world = begun(seed, 2, 6, 8, RESTLESS)
    zone = world.zones[seed % len(world.zones)]
    inside = [process.name for process in world.among("g", zone)]
    ways = world.partition(inside, [process.name for process in world.among("c")])
    world.run(60 * SECOND, every=200 * MS)
    since = world.elapsed_ns
    world.heal(ways)
    world.until_settled(10 * SECOND)
    if moved := _moves(world, since):
        raise InvariantViolated(f"seed {seed}: {moved} move for a heal")


def seed_replaced(seed: int) -> None:
    """A control machine is gone for good: its cells' gateways move, while words are lost, and those on cells
    come late and in any order."""
    world = begun(seed, 1, 4, 6, SMALL)
    gone = next(p for p in world.among("c") if isinstance(p.core, Controller) and p.core.cells)
    leader = world.leader()
    if seed % 2 and leader is not None:
        gone = leader
    world.kill(gone)
    world.conditions.loss = 0.05
    world.conditions.duplication = 0.2
    world.words_late = 3 * SECOND
    world.run(50 * SECOND)
    world.conditions.loss = 0.0
    world.conditions.duplication = 0.0
    world.words_late = 0
    world.run(10 * SECOND)
    world.until_settled(START)
    if world.retired_with:
        raise InvariantViolated(f"seed {seed}: {world.retired_with} were in cells that were given up")
    held = [core.placement.cell for _, core in world.gateways() if core.placement is not None]
    if any(gone.address in cell.seeds for cell in held):
        raise InvariantViolated(f"seed {seed}: {gone.name} is gone, and still to be a seed")


def mover_stopped(seed: int) -> None:
    """Gateways stand still while they are to move, and wake with old leases and old words."""
    world = begun(seed, 1, 4, 6, SMALL)
    world.kill(next(p for p in world.among("c") if isinstance(p.core, Controller) and p.core.cells))
    end = world.elapsed_ns + 30 * SECOND
    while world.elapsed_ns < end:
        world.run(world.rng.randint(500 * MS, 2 * SECOND))
        for process in world.rng.sample(world.among("g"), 3):
            world.pause(process, world.rng.randint(500 * MS, 3 * SECOND))
    world.run(4 * SECOND)
    world.until_settled(START)


def late_entries(seed: int) -> None:
    """Cells are opened, closed and given up faster than the words that say so arrive."""
    world = begun(seed, 1, 5, 1, SMALL)
    world.words_late = 6 * SECOND
    world.conditions.duplication = 0.5
    for _ in range(6):
        for process in world.among("g", world.zones[0]):
            world.leave(process)
        world.run(6 * SECOND, every=100 * MS)
        again = world.rng.choice([p for p in world.among("c") if p is not world.leader()])
        world.kill(again)
        world.start(again)  # it is told all that it seeds once more, about when one of these is closed
        world.run(12 * SECOND, every=100 * MS)
        world.start(world.add(world.zones[0]))
        world.run(8 * SECOND, every=100 * MS)
    world.words_late = 0
    world.conditions.duplication = 0.0
    world.run(25 * SECOND)
    world.until_settled(START)


def leader_stopped(seed: int) -> None:
    """It believes that it leads, while another does; what it had to say comes late."""
    world = begun(seed, 1, 5, 4, SMALL)
    for _ in range(4):
        leader = world.leader()
        if leader is None:
            raise InvariantViolated(f"seed {seed}: nobody leads")
        world.conditions.jitter_ns = 600 * MS
        world.pause(leader, 4 * SECOND)
        for zone in world.zones:
            world.start(world.add(zone))
        world.run(6 * SECOND)
        world.conditions.jitter_ns = 0
        world.run(4 * SECOND)
    world.until_settled(START)


def too_many_at_once(seed: int) -> None:
    """Control machines that can't reach the leader place newcomers by themselves, each more than the others
    know: what is too full is split, and what has become too small is merged, once."""
    world = begun(seed, 2, 6, 3, SMALL)
    crowded = world.zones[2]  # of the region with fewer voters
    world.cut_off("r0", ["r1"])
    world.run(7 * SECOND)
    for _ in range(24):
        world.start(world.add(crowded))
    world.run(6 * SECOND)
    world.heal_regions()
    world.run(20 * SECOND)
    world.until_settled(START)
    for process in world.among("g", crowded)[4:]:
        world.leave(process)
    world.run(60 * SECOND)
    world.until_settled(START)
    used = {
        core.placement.cell.name
        for p, core in world.gateways()
        if core.placement is not None and core.placement.cell.location == crowded
    }
    if len(used) > 1:
        raise InvariantViolated(f"seed {seed}: four gateways in {len(used)} cells")
    leader = world.leader()
    if leader is None or not isinstance(leader.core, Controller) or leader.core.leader is None:
        raise InvariantViolated(f"seed {seed}: nobody leads")
    if len(leader.core.leader.directory.entries) > len(world.zones) + 1:
        raise InvariantViolated(f"seed {seed}: cells without gateways are kept")


def half_restarted(seed: int) -> None:
    """All come back to the cells that they were in."""
    world = begun(seed, 2, 6, 6, RESTLESS)
    before = {p.name: core.placement.cell.name for p, core in world.gateways() if core.placement is not None}
    again = world.rng.sample(world.among("g"), len(before) // 2)
    for process in again:
        world.kill(process)
    for process in again:
        world.at(world.elapsed_ns + world.rng.randint(100 * MS, 900 * MS), partial(world.start, process))
    world.run(2 * SECOND)
    world.until_settled(START)
    after = {p.name: core.placement.cell.name for p, core in world.gateways() if core.placement is not None}
    if after != before:
        raise InvariantViolated(
            f"seed {seed}: {sum(after[n] != before[n] for n in before)} are in other cells"
        )


def cell_without_its_majority(seed: int) -> None:
    """Two of three seeds end: the cell makes no view, its gateways act on what they hold for as long as it
    lasts; and the two that come back take it up again, as the leader tells them."""
    world = begun(seed, 1, 5, 3, RESTLESS, keep=20 * SECOND)
    _, core = world.gateways()[0]
    if core.placement is None:
        raise InvariantViolated(f"seed {seed}: nobody is in a cell")
    cell = core.placement.cell
    gone = [world.at_address(address) for address in cell.seeds[:2]]
    for process in gone:
        world.kill(process)
    world.run(10 * SECOND)
    kept = [
        c.usable_slots(p.now(world.clock.now))
        for p, c in world.gateways()
        if c.placement is not None and c.placement.cell.name == cell.name
    ]
    if not all(kept):
        raise InvariantViolated(f"seed {seed}: gateways let go of what a live seed knows of")
    since = world.elapsed_ns
    for process in gone:
        world.start(process)
    world.until_settled(START)
    if moved := _moves(world, since):
        raise InvariantViolated(f"seed {seed}: {moved} move though their cell is as it was")


def calm(seed: int) -> None:
    """What each sends grows with its cell, not with the fleet; control machines' share with the cells."""
    each = []
    for gateways in (4, 16):
        world = begun(seed, 1, 5, gateways, CellPolicy(4, 6, 1, 3, 4_096, 60 * SECOND, 600 * SECOND))
        world.datagrams.clear()
        since = world.elapsed_ns
        world.run(10 * SECOND)
        if _moves(world, since):
            raise InvariantViolated(f"seed {seed}: moves in calm")
        of_gateways = sum(n for name, n in world.datagrams.items() if name.startswith("g"))
        of_control = sum(n for name, n in world.datagrams.items() if name.startswith("c"))
        each.append((of_gateways / (2 * gateways), of_control / (2 * gateways)))
    (few, few_control), (many, many_control) = each
    if many > 1.2 * few or many_control > 1.2 * few_control:
        raise InvariantViolated(f"seed {seed}: datagrams a gateway grow with the fleet: {each}")


WORLDS: tuple[Callable[[int], object], ...] = (
    play,
    region_cut_off,
    zone_cut_off,
    out_of_all_reach,
    seed_replaced,
    mover_stopped,
    late_entries,
    leader_stopped,
    too_many_at_once,
    half_restarted,
    cell_without_its_majority,
    calm,
)
