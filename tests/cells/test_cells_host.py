"""Tests control machines and gateways on loopback sockets within this process."""

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
TIMEOUT_S = 40.0  # only a hang reaches it
POLL_INTERVAL_S = 0.05


def wire(fleet: str = "f", key: bytes = b"k" * 16) -> CellsWire:
    return CellsWire(fleet, Keys(key), 64)


def message(name: str = "g") -> CellsMessage:
    current = Placement((1, 0, 3), Cell("c", "r", "z", (1, 0, 2), (("10.0.0.1", 1),) * 3))
    return CellsMessage("f", name, 7, PlacementRequest("r", "z", ("10.0.0.9", 2), current))


def test_cell_and_view_messages_share_an_address() -> None:
    """Corrupted messages and those of other fleets or keys are counted and dropped."""
    cells_wire = wire()
    data = cells_wire.pack_message(message())
    assert cells_wire.read(data) == message()
    member_message = MemberMessage("any cell", "a", 1, Ping(3, ("b", 2)), 7)
    assert cells_wire.read(cells_wire.pack(member_message)) == member_message, "views of all names are read"
    assert Wire("f", Keys(b"k" * 16), 64).unpack(data) is None
    rng = random.Random(2)
    for _ in range(200):
        corrupted = bytearray(data)
        corrupted[rng.randrange(len(corrupted))] ^= 1 << rng.randrange(8)
        assert cells_wire.read(bytes(corrupted)) is None
        payload = rng.randbytes(rng.randrange(60))
        assert cells_wire.read(MAGIC + cells_wire.keys.sign(payload) + payload) is None
    assert cells_wire.read(wire(key=b"other key of size").pack_message(message())) is None
    other_fleet = CellsMessage("g", "a", 1, RetireCell("c", (1, 0, 1)))
    assert cells_wire.read(wire("g").pack_message(other_fleet)) is None
    assert {"digest", "spoilt", "another fleet"} <= set(cells_wire.dropped)


def test_placement_with_longest_names_fits_into_a_datagram() -> None:
    cell = Cell("x" * 128, "r" * 64, "z" * 64, (1 << 40, 6, 1 << 20), (("255.255.255.255", 65535),) * 3)
    notice = PlacementNotice(("g" * 64, 1 << 42), Placement((1 << 40, 6, 9), cell))
    longest = CellsMessage("f" * 64, "n" * 64, 1 << 42, notice)
    assert len(wire("f" * 64).pack_message(longest)) <= MAX_DATAGRAM_BYTES


class Fleet:
    """Runs three control machines and some gateways in this process."""

    def __init__(self, ports: Ports, gateways: int, folder: Path) -> None:
        self.machines = tuple(ControlMachine(f"c{n}", "r", f"z{n}", (ports.host(), 7500)) for n in range(3))
        self.folder, self._ports = folder, ports
        self.leaderships: list[tuple[str, Epoch | None]] = []
        self.received: list[tuple[str, bytes]] = []
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
            on_leadership=lambda epoch: self.leaderships.append((machine.name, epoch)),
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
            on_data=lambda sender, data, part: self.received.append((sender, data)),
        )

    def hosts(self) -> list[Host]:
        return [*self.control, *self.gateways]

    def settled(self) -> bool:
        slots, now = 0, time.monotonic_ns()
        names = {host.core.member_id[0] for host in self.hosts()}
        for host in self.gateways:
            core = host.core
            if not isinstance(core, Gateway) or core.member is None or core.member.view is None:
                return False
            if {name for name, _ in core.member.view.members} != names:
                return False
            slots |= core.usable_slots(now)
        return slots == ALL_SLOTS


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not holds():
            await asyncio.sleep(POLL_INTERVAL_S)


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
def test_cell_survives_the_end_of_gateway_and_leader(tmp_path: Path) -> None:
    """Gateways find their cell; it settles again after a gateway leaves and after the leader stops."""

    async def work(fleet: Fleet) -> None:
        fleet.gateways[0].send_data(["g1", "g2"], b"word")
        await until(lambda: len(fleet.received) == 2)
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
    assert len({name for name, epoch in fleet.leaderships if epoch is not None}) >= 2
    lines = RecordReader([tmp_path / "g0"]).all()
    kinds = [each.kind for each in lines]
    assert "joined" in kinds and "parted" in kinds and "view" in kinds
    assert {each.about["fleet"] for each in lines if each.kind == "view"} == {
        each.about["cell"] for each in lines if each.kind == "joined"
    }
