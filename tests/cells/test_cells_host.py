"""Control machines' and gateways' cores on sockets, in this process, on loopback."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from trackspread.cells.controller import Controller, ControlSettings
from trackspread.cells.gateway import Gateway, GatewaySettings
from trackspread.cells.host import Host
from trackspread.cells.messages import (
    Cell,
    CellsMessage,
    Placement,
    PlacementNotice,
    PlacementRequest,
    RetireCell,
)
from trackspread.cells.topology import ControlMachine, Zone
from trackspread.cells.wire import MAGIC, CellsWire
from trackspread.membership.host import created_now_ms
from trackspread.membership.identifiers import Epoch
from trackspread.membership.messages import MemberMessage, Ping
from trackspread.membership.slot_allocation import ALL_SLOTS
from trackspread.membership.wire import MAX_DATAGRAM_BYTES, Keys, Wire
from trackspread.testing.judge.membership_records import RecordReader
from trackspread.testing.standins.loopback import Ports

ZONE = Zone("r", "z")
MOST = 40.0  # s: only a hang reaches it
LOOK = 0.05  # s between looks


def wire(fleet: str = "f", key: bytes = b"k" * 16) -> CellsWire:
    return CellsWire(fleet, Keys(key), 64)


def message(name: str = "g") -> CellsMessage:
    held = Placement((1, 0, 3), Cell("c", "r", "z", (1, 0, 2), (("10.0.0.1", 1),) * 3))
    return CellsMessage("f", name, 7, PlacementRequest("r", "z", ("10.0.0.9", 2), held))


def test_words_on_cells_and_of_views_share_an_address_and_what_is_spoilt_is_counted() -> None:
    one = wire()
    data = one.pack_message(message())
    assert one.read(data) == message()
    member_message = MemberMessage("any cell", "a", 1, Ping(3, ("b", 2)), 7)
    assert one.read(one.pack(member_message)) == member_message, "whatever its cell"
    assert Wire("f", Keys(b"k" * 16), 64).unpack(data) is None
    rng = random.Random(2)
    for _ in range(200):
        spoilt = bytearray(data)
        spoilt[rng.randrange(len(spoilt))] ^= 1 << rng.randrange(8)
        assert one.read(bytes(spoilt)) is None
        junk = rng.randbytes(rng.randrange(60))
        assert one.read(MAGIC + one.keys.sign(junk) + junk) is None
    assert one.read(wire(key=b"other key of size").pack_message(message())) is None
    assert one.read(wire("g").pack_message(CellsMessage("g", "a", 1, RetireCell("c", (1, 0, 1))))) is None
    assert {"digest", "spoilt", "another fleet"} <= set(one.dropped)


def test_a_placement_of_the_longest_names_fits_into_a_datagram() -> None:
    long = Cell("x" * 128, "r" * 64, "z" * 64, (1 << 40, 6, 1 << 20), (("255.255.255.255", 65535),) * 3)
    located = PlacementNotice(("g" * 64, 1 << 42), Placement((1 << 40, 6, 9), long))
    placed = CellsMessage("f" * 64, "n" * 64, 1 << 42, located)
    assert len(wire("f" * 64).pack_message(placed)) <= MAX_DATAGRAM_BYTES


class Fleet:
    """Three control machines and some gateways."""

    def __init__(self, ports: Ports, gateways: int, folder: Path) -> None:
        self.machines = tuple(ControlMachine(f"c{n}", "r", f"z{n}", (ports.host(), 7500)) for n in range(3))
        self.folder, self._ports = folder, ports
        self.led: list[tuple[str, Epoch | None]] = []
        self.heard: list[tuple[str, bytes]] = []
        self.control = [self.controller(machine) for machine in self.machines]
        self.gateways = [self.gateway(f"g{n}") for n in range(gateways)]

    def controller(self, machine: ControlMachine) -> Host:
        core = Controller(
            ControlSettings("f", machine.name, created_now_ms(), self.machines),
            time.monotonic_ns(),
            random.getrandbits(60),
        )
        return Host(
            core,
            machine.address,
            wire(),
            time.monotonic_ns,
            self.folder / machine.name,
            on_leadership=lambda epoch: self.led.append((machine.name, epoch)),
        )

    def gateway(self, name: str) -> Host:
        address = self._ports.host(), 7400
        core = Gateway(
            GatewaySettings("f", name, created_now_ms(), address, ZONE, self.machines),
            time.monotonic_ns(),
            random.getrandbits(60),
        )
        return Host(
            core,
            address,
            wire(),
            time.monotonic_ns,
            self.folder / name,
            on_data=lambda sender, data, part: self.heard.append((sender, data)),
        )

    def hosts(self) -> list[Host]:
        return [*self.control, *self.gateways]

    def settled(self) -> bool:
        slots, now = 0, time.monotonic_ns()
        wanted = {host.core.member_id[0] for host in self.hosts()}
        for host in self.gateways:
            core = host.core
            if not isinstance(core, Gateway) or core.member is None or core.member.view is None:
                return False
            if {name for name, _ in core.member.view.members} != wanted:
                return False
            slots |= core.usable_slots(now)
        return slots == ALL_SLOTS


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(MOST):
        while not holds():
            await asyncio.sleep(LOOK)


def play(tmp_path: Path, gateways: int, work: Callable[[Fleet], Awaitable[None]]) -> Fleet:
    async def run() -> Fleet:
        ports = Ports()
        fleet = Fleet(ports, gateways, tmp_path)
        try:
            for host in fleet.hosts():
                await host.start()
            await until(fleet.settled)
            await work(fleet)
        finally:
            for host in fleet.hosts():
                host.close()
            ports.close()
        return fleet

    return asyncio.run(run())


@pytest.mark.processes
def test_gateways_find_their_cell_and_one_that_ends_or_a_leader_that_does_is_got_over(tmp_path: Path) -> None:
    async def work(fleet: Fleet) -> None:
        fleet.gateways[0].send_data(["g1", "g2"], b"word")
        await until(lambda: len(fleet.heard) == 2)
        fleet.gateways.pop().close()
        await until(fleet.settled)
        leader = next(
            host
            for host in fleet.control
            if isinstance(host.core, Controller) and host.core.is_leader(time.monotonic_ns())
        )
        fleet.control.remove(leader)
        leader.close(leave=False)
        await until(
            lambda: (
                fleet.settled()
                and any(
                    isinstance(host.core, Controller)
                    and host.core.leader is not None
                    and any(entry.members for entry in host.core.leader.directory.entries.values())
                    for host in fleet.control
                )
            )
        )
        fleet.gateways.append(fleet.gateway("late"))
        await fleet.gateways[-1].start()
        await until(fleet.settled)

    fleet = play(tmp_path, 6, work)
    assert len({name for name, epoch in fleet.led if epoch is not None}) >= 2
    lines = RecordReader([tmp_path / "g0"]).all()
    kinds = [each.kind for each in lines]
    assert "joined" in kinds and "parted" in kinds and "view" in kinds
    assert {each.about["fleet"] for each in lines if each.kind == "view"} == {
        each.about["cell"] for each in lines if each.kind == "joined"
    }
