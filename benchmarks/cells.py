"""What membership in levels costs each process at rest, in virtual time, whole fleets of the real cores.

`python -m benchmarks.cells --gateways 720 1440` prints a line of JSON for each size: bytes and datagrams a
second, sent and come, of gateways and of control machines, counted as the wire would pack them. Virtual time
has no CPU; 7,200 gateways take some ten minutes and half a gigabyte. May know: worlds. Decides nothing.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter

import msgspec

from trackspread.membership.identifiers import SECOND
from trackspread.testing.virtual.cells.world import CellsWorld

START = 60 * SECOND  # ns that the fleet may take to settle from nothing
REGIONS, ZONES, MACHINES = 4, 3, 19


class Cost(msgspec.Struct, frozen=True):
    """A second, of the mean one and of the busiest."""

    sent: int
    sent_most: int
    came: int
    came_most: int
    datagrams: int


class Line(msgspec.Struct, frozen=True):
    """One size. `settled_s`: until all were settled that had started at once; `leader`: its own cost."""

    gateways: int
    cells: int
    seats_most: int  # of one control machine
    settled_s: float
    wall_s: float
    gateway: Cost
    control: Cost
    leader: Cost


def cost(world: CellsWorld, names: list[str], seconds: int) -> Cost:
    """Of these, over so many seconds."""

    def of(counted: Counter[str]) -> tuple[int, int]:
        each = [counted[name] / seconds for name in names]
        return round(sum(each) / len(each)), round(max(each))

    return Cost(*of(world.bytes_sent), *of(world.bytes_received), of(world.datagrams)[0])


def played(gateways: int, seconds: int, seed: int) -> Line:
    """A fleet from its start, and so many seconds of it at rest."""
    began = time.monotonic()
    world = CellsWorld(seed, REGIONS, MACHINES, ZONES)
    world.populate(gateways // (REGIONS * ZONES))
    settled = world.start_all(START)
    for counted in (world.bytes_sent, world.bytes_received, world.datagrams):
        counted.clear()
    world.run_until(world.elapsed_ns + seconds * SECOND)
    leader = world.leader()
    seats = [len(core.cells) for _, core in world.controllers()]
    return Line(
        len(world.gateways()),
        len({c.placement.cell.name for _, c in world.gateways() if c.placement is not None}),
        max(seats),
        settled / SECOND,
        round(time.monotonic() - began, 1),
        cost(world, [p.name for p in world.processes_of("g")], seconds),
        cost(world, [p.name for p in world.processes_of("c")], seconds),
        cost(world, [leader.name if leader is not None else "c0"], seconds),
    )


def main() -> None:
    """A line of JSON for each size."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.cells", description=__doc__)
    parser.add_argument("--gateways", type=int, nargs="+", default=[360, 720, 1440], help="sizes, by twelves")
    parser.add_argument("--seconds", type=int, default=20, help="of virtual time at rest (20)")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    for gateways in given.gateways:
        print(msgspec.json.encode(played(gateways, given.seconds, given.seed)).decode(), flush=True)


if __name__ == "__main__":
    main()
