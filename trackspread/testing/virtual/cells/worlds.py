"""Defines worlds of cells for one hard case each; each raises `InvariantViolated` if its condition fails.

They are smaller than the random schedules (`schedules.py`) and have harder faults, and each checks what its
case requires.
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
from .schedules import SMALL_POLICY, play
from .world import CellsWorld

START_LIMIT_NS = 20 * SECOND  # time until a fleet has settled whose processes start at once
# With this policy no cell is merged and no seed replaced within the time of a world.
STATIC_POLICY = CellPolicy(6, 8, 2, 4, 4_096, 60 * SECOND, 600 * SECOND)


def settled_world(
    seed: int,
    regions: int,
    machines: int,
    gateways_per_zone: int,
    policy: CellPolicy,
    lease_duration_ns: int = 2 * SECOND,
) -> CellsWorld:
    """Returns a settled fleet with two zones in each region."""
    world = CellsWorld(seed, regions, machines, 2, policy=policy, lease_duration_ns=lease_duration_ns)
    world.populate(gateways_per_zone)
    world.start_all(START_LIMIT_NS)
    return world


def _moved_gateways(world: CellsWorld, since: int) -> list[str]:
    return [name for at, name, event in world.events if at > since and isinstance(event, CellLeft)]


def region_cut_off(seed: int) -> None:
    """Cuts a region off for two minutes.

    Its gateways keep their slots, it places restarted gateways, and after the heal there is neither a burst
    of requests nor a move.
    """
    world = settled_world(seed, 3, 9, 6, STATIC_POLICY)
    region = f"r{seed % 3}"
    inside = world.processes_of("g", region=region)
    world.cut_off(region, [f"r{n}" for n in range(3) if f"r{n}" != region])
    world.run(12 * SECOND)
    for process in inside[:2]:
        world.kill(process)
        world.start(process)
    world.run(108 * SECOND, interval_ns=200 * MS)
    now = world.clock.now
    for process in inside:
        core = process.core
        if not isinstance(core, Gateway) or not core.usable_slots(process.now(now)):
            raise InvariantViolated(f"seed {seed}: {process.name} has no slots in a region that is cut off")
    since, before = world.elapsed_ns, world.placement_requests.total()
    world.heal_regions()
    world.run(10 * SECOND)
    limit = 2 * len(world.processes_of("g")) * 10 * SECOND // REFRESH_INTERVAL_NS + 10
    requests = world.placement_requests.total() - before
    if requests > limit:
        raise InvariantViolated(f"seed {seed}: {requests} placement requests in 10 s after a heal")
    world.until_settled(10 * SECOND)
    if moved := _moved_gateways(world, since):
        raise InvariantViolated(f"seed {seed}: {moved} moved after a heal")


def out_of_all_reach(seed: int) -> None:
    """Kills all control machines: gateways stay in their cells and request placements ever less often."""
    world = settled_world(seed, 1, 3, 5, STATIC_POLICY)
    gateways = [process.name for process in world.processes_of("g")]
    for process in world.processes_of("c"):
        world.kill(process)
    before = world.placement_requests.total()
    world.run(60 * SECOND)
    limit = len(gateways) * (60 * SECOND // MAX_BACKOFF_NS + 12)
    requests = world.placement_requests.total() - before
    if requests > limit:
        raise InvariantViolated(f"seed {seed}: {requests} placement requests in a minute without answers")
    since = world.elapsed_ns
    for process in world.processes_of("c"):
        world.start(process)
    world.until_settled(START_LIMIT_NS)
    if moved := _moved_gateways(world, since):
        raise InvariantViolated(f"seed {seed}: {moved} moved although their cells had not changed")


def zone_cut_off(seed: int) -> None:
    """Severs all links between a zone's gateways and the control machines for a minute.

    To the control machines the zone looks lost; still, its gateways return to their cells.
    """
    world = settled_world(seed, 2, 6, 8, STATIC_POLICY)
    zone = world.zones[seed % len(world.zones)]
    inside = [process.name for process in world.processes_of("g", zone)]
    links = world.partition(inside, [process.name for process in world.processes_of("c")])
    world.run(60 * SECOND, interval_ns=200 * MS)
    since = world.elapsed_ns
    world.heal(links)
    world.until_settled(10 * SECOND)
    if moved := _moved_gateways(world, since):
        raise InvariantViolated(f"seed {seed}: {moved} moved after a heal")


def seed_replaced(seed: int) -> None:
    """Kills a control machine for good, so that the gateways of its cells move.

    Meanwhile messages are lost, and those on cells arrive late and reordered.
    """
    world = settled_world(seed, 1, 4, 6, SMALL_POLICY)
    killed = next(p for p in world.processes_of("c") if isinstance(p.core, Controller) and p.core.cells)
    leader = world.leader()
    if seed % 2 and leader is not None:
        killed = leader
    world.kill(killed)
    world.conditions.loss = 0.05
    world.conditions.duplication = 0.2
    world.max_cells_message_delay_ns = 3 * SECOND
    world.run(50 * SECOND)
    world.conditions.loss = 0.0
    world.conditions.duplication = 0.0
    world.max_cells_message_delay_ns = 0
    world.run(10 * SECOND)
    world.until_settled(START_LIMIT_NS)
    if world.gateways_in_retired:
        raise InvariantViolated(f"seed {seed}: {world.gateways_in_retired} were in cells that were retired")
    cells = [core.placement.cell for _, core in world.gateways() if core.placement is not None]
    if any(killed.address in cell.seeds for cell in cells):
        raise InvariantViolated(f"seed {seed}: {killed.name} was killed for good and is still a seed")


def mover_stopped(seed: int) -> None:
    """Pauses gateways while they are to move; they resume with old leases and old messages."""
    world = settled_world(seed, 1, 4, 6, SMALL_POLICY)
    world.kill(next(p for p in world.processes_of("c") if isinstance(p.core, Controller) and p.core.cells))
    end = world.elapsed_ns + 30 * SECOND
    while world.elapsed_ns < end:
        world.run(world.rng.randint(500 * MS, 2 * SECOND))
        for process in world.rng.sample(world.processes_of("g"), 3):
            world.pause(process, world.rng.randint(500 * MS, 3 * SECOND))
    world.run(4 * SECOND)
    world.until_settled(START_LIMIT_NS)


def late_entries(seed: int) -> None:
    """Opens, closes and retires cells faster than the messages on that arrive."""
    world = settled_world(seed, 1, 5, 1, SMALL_POLICY)
    world.max_cells_message_delay_ns = 6 * SECOND
    world.conditions.duplication = 0.5
    for _ in range(6):
        for process in world.processes_of("g", world.zones[0]):
            world.leave(process)
        world.run(6 * SECOND, interval_ns=100 * MS)
        restarted = world.rng.choice([p for p in world.processes_of("c") if p is not world.leader()])
        world.kill(restarted)
        # It is notified of all cells that it seeds again, at about the time when one of them is closed.
        world.start(restarted)
        world.run(12 * SECOND, interval_ns=100 * MS)
        world.start(world.add(world.zones[0]))
        world.run(8 * SECOND, interval_ns=100 * MS)
    world.max_cells_message_delay_ns = 0
    world.conditions.duplication = 0.0
    world.run(25 * SECOND)
    world.until_settled(START_LIMIT_NS)


def leader_stopped(seed: int) -> None:
    """Pauses the leader, so that another one is elected and the former leader's messages arrive late."""
    world = settled_world(seed, 1, 5, 4, SMALL_POLICY)
    for _ in range(4):
        leader = world.leader()
        if leader is None:
            raise InvariantViolated(f"seed {seed}: there is no leader")
        world.conditions.jitter_ns = 600 * MS
        world.pause(leader, 4 * SECOND)
        for zone in world.zones:
            world.start(world.add(zone))
        world.run(6 * SECOND)
        world.conditions.jitter_ns = 0
        world.run(4 * SECOND)
    world.until_settled(START_LIMIT_NS)


def too_many_at_once(seed: int) -> None:
    """Starts many gateways in a region whose control machines can't reach the leader.

    Each of these places gateways by itself without knowing of the others' placements. Cells that are too full
    are then split, and cells that have become too small are merged once.
    """
    world = settled_world(seed, 2, 6, 3, SMALL_POLICY)
    crowded = world.zones[2]  # a zone of the region with fewer voters
    world.cut_off("r0", ["r1"])
    world.run(7 * SECOND)
    for _ in range(24):
        world.start(world.add(crowded))
    world.run(6 * SECOND)
    world.heal_regions()
    world.run(20 * SECOND)
    world.until_settled(START_LIMIT_NS)
    for process in world.processes_of("g", crowded)[4:]:
        world.leave(process)
    world.run(60 * SECOND)
    world.until_settled(START_LIMIT_NS)
    used = {
        core.placement.cell.name
        for p, core in world.gateways()
        if core.placement is not None and core.placement.cell.location == crowded
    }
    if len(used) > 1:
        raise InvariantViolated(f"seed {seed}: four gateways are in {len(used)} cells, must be in one")
    leader = world.leader()
    if leader is None or not isinstance(leader.core, Controller) or leader.core.leader is None:
        raise InvariantViolated(f"seed {seed}: there is no leader")
    if len(leader.core.leader.directory.entries) > len(world.zones) + 1:
        raise InvariantViolated(f"seed {seed}: cells without gateways are kept")


def half_restarted(seed: int) -> None:
    """Restarts half of the gateways, which return to their former cells."""
    world = settled_world(seed, 2, 6, 6, STATIC_POLICY)
    before = {p.name: core.placement.cell.name for p, core in world.gateways() if core.placement is not None}
    restarted = world.rng.sample(world.processes_of("g"), len(before) // 2)
    for process in restarted:
        world.kill(process)
    for process in restarted:
        world.at(world.elapsed_ns + world.rng.randint(100 * MS, 900 * MS), partial(world.start, process))
    world.run(2 * SECOND)
    world.until_settled(START_LIMIT_NS)
    after = {p.name: core.placement.cell.name for p, core in world.gateways() if core.placement is not None}
    if after != before:
        raise InvariantViolated(
            f"seed {seed}: {sum(after[n] != before[n] for n in before)} are in other cells"
        )


def cell_without_its_majority(seed: int) -> None:
    """Kills two of a cell's three seeds.

    The cell then forms no view, and its gateways use their slots until the leases expire. The two seeds are
    notified by the leader after their restart and seed the cell again.
    """
    world = settled_world(seed, 1, 5, 3, STATIC_POLICY, lease_duration_ns=20 * SECOND)
    _, core = world.gateways()[0]
    if core.placement is None:
        raise InvariantViolated(f"seed {seed}: no gateway is in a cell")
    cell = core.placement.cell
    killed = [world.at_address(address) for address in cell.seeds[:2]]
    for process in killed:
        world.kill(process)
    world.run(10 * SECOND)
    usable_slots = [
        c.usable_slots(p.now(world.clock.now))
        for p, c in world.gateways()
        if c.placement is not None and c.placement.cell.name == cell.name
    ]
    if not all(usable_slots):
        raise InvariantViolated(f"seed {seed}: gateways released slots that a running seed knows of")
    since = world.elapsed_ns
    for process in killed:
        world.start(process)
    world.until_settled(START_LIMIT_NS)
    if moved := _moved_gateways(world, since):
        raise InvariantViolated(f"seed {seed}: {moved} moved although their cell had not changed")


def calm(seed: int) -> None:
    """Compares two fleet sizes without faults.

    A gateway's datagrams grow with its cell and not with the fleet, and the control machines' datagrams grow
    with the cells.
    """
    datagrams = []
    for gateways in (4, 16):
        world = settled_world(seed, 1, 5, gateways, CellPolicy(4, 6, 1, 3, 4_096, 60 * SECOND, 600 * SECOND))
        world.datagrams.clear()
        since = world.elapsed_ns
        world.run(10 * SECOND)
        if _moved_gateways(world, since):
            raise InvariantViolated(f"seed {seed}: gateways moved without a fault")
        of_gateways = sum(n for name, n in world.datagrams.items() if name.startswith("g"))
        of_control = sum(n for name, n in world.datagrams.items() if name.startswith("c"))
        datagrams.append((of_gateways / (2 * gateways), of_control / (2 * gateways)))
    (few, few_control), (many, many_control) = datagrams
    if many > 1.2 * few or many_control > 1.2 * few_control:
        raise InvariantViolated(f"seed {seed}: datagrams per gateway grow with the fleet: {datagrams}")


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
