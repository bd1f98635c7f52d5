"""Measures what membership in cells costs each process of an idle fleet, in virtual time.

The fleets run the real cores. `python -m benchmarks.cells --gateways 720 1440` prints a line of JSON for
each size. It has the bytes per second that gateways and control machines send and receive, in the encoding of
the wire, and the datagrams that they send. Virtual time gives no CPU figures. 7,200 gateways take about ten
minutes and half a gigabyte.
"""

from __future__ import annotations

import argparse
import time
from collections import Counter

import msgspec

from trackspread.membership.identifiers import SECOND
from trackspread.testing.virtual.cells.world import CellsWorld

START = 60 * SECOND  # Nanoseconds that the fleet may take to settle after its start.
REGIONS, ZONES, MACHINES = 4, 3, 19


class Cost(msgspec.Struct, frozen=True):
    """Holds the bytes and datagrams per second of the mean process and the bytes of the busiest one."""

    sent: int
    sent_most: int
    came: int
    came_most: int
    datagrams: int


class Line(msgspec.Struct, frozen=True):
    """Holds the figures of one size.

    `settled_s` is the time until a fleet that started all at once was settled. `leader` is the leader's cost.
    """

    gateways: int
    cells: int
    seats_most: int  # Of one control machine.
    settled_s: float
    wall_s: float
    gateway: Cost
    control: Cost
    leader: Cost


def cost(world: CellsWorld, names: list[str], seconds: int) -> Cost:
    """Returns the cost of the named processes over `seconds`."""

    def mean_and_most(counted: Counter[str]) -> tuple[int, int]:
        rates = [counted[name] / seconds for name in names]
        return round(sum(rates) / len(rates)), round(max(rates))

    return Cost(
        *mean_and_most(world.bytes_sent),
        *mean_and_most(world.bytes_received),
        mean_and_most(world.datagrams)[0],
    )


def played(gateways: int, seconds: int, seed: int) -> Line:
    """Runs a fleet until it is settled and then idle for `seconds`, and returns its figures."""
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
    """Prints a line of JSON for each size."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.cells", description=__doc__)
    parser.add_argument(
        "--gateways", type=int, nargs="+", default=[360, 720, 1440], help="sizes, multiples of 12"
    )
    parser.add_argument("--seconds", type=int, default=20, help="idle virtual time (20)")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    for gateways in given.gateways:
        print(msgspec.json.encode(played(gateways, given.seconds, given.seed)).decode(), flush=True)


if __name__ == "__main__":
    main()
