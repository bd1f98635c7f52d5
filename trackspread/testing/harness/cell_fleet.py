"""Fleets of processes in cells: gateways, and beside them control machines, each a process.

All words between any two of them go over the wire, which can be cut. May know: fleets, records. May not know:
how cells come to be.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import cast

import msgspec

from ..judge.membership_records import Inconsistency, MembershipRecord, Reader, rights, views
from ..judge.ledger import GatewayExited, GatewayKilled
from ..standins.scenario import Scenario
from .fleet import MEMBER_PORT, Fleet
from .gateway_process import RUN_COMMAND, STOP_TIMEOUT_S
from .limited_process import LimitedProcess, limited_command

CONTROL_COMMAND = ("-m", "trackspread")
MAX_DESCRIPTORS = 1_024  # of a control machine
ZONES = 2  # of the one region


class ControlProcess(LimitedProcess):
    """One control machine in a process of its own.

    `operator_file` is the path of its file, `command` the interpreter's arguments without the words
    `control NAME` and the file.
    """

    def __init__(
        self, name: str, operator_file: Path, log: Path, command: tuple[str, ...] = CONTROL_COMMAND
    ) -> None:
        super().__init__(name, log)
        self._operator_file = operator_file
        self._command = command

    async def start(self) -> None:
        """Starts it without any state."""
        arguments = (*self._command, "control", self.name, "--file", str(self._operator_file))
        self._process = await self._spawn(limited_command(MAX_DESCRIPTORS, *arguments), {})

    async def kill(self) -> None:
        """SIGKILL; returns once the process has ended."""
        if self._process is not None and self.running:
            self._process.kill()
            await self._process.wait()

    async def end(self) -> int | None:
        """SIGTERM; returns its exit status, None if it never started.

        Raises `TimeoutError` if it has not ended after `STOP_TIMEOUT_S`.
        """
        if self._process is None:
            return None
        if self.running:
            self._process.terminate()
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        return self._process.returncode


class CelledFleet(Fleet):
    """Use as `async with CelledFleet(scenario, control) as fleet`; gateways n0, n1, ... in turn in zones z0
    and z1 of one region, control machines c0, c1, ... beside them."""

    def __init__(
        self,
        scenario: Scenario,
        control: int,
        keys: str = "",
        runs: tuple[str, ...] = RUN_COMMAND,
        controls: tuple[str, ...] = CONTROL_COMMAND,
    ) -> None:
        """`keys`: further ones of every table [fleet]; `runs`, `controls`: what runs a gateway, and a control
        machine."""
        super().__init__(scenario, runs, viewed=keys)
        self._controls = controls
        self.control_names = [f"c{number}" for number in range(control)]
        self.control: dict[str, ControlProcess] = {}

    async def __aenter__(self) -> CelledFleet:
        await super().__aenter__()
        return self

    async def _view(self, names: Sequence[str]) -> None:
        every = [*names, *self.control_names]
        self.members = {name: (self._ports.host(), MEMBER_PORT) for name in every}
        self.reached = await self.wire.posts(self.members)
        self._reader = Reader([self.record(name) for name in every])
        for name in self.control_names:
            file = self.folder / f"{name}.toml"
            file.write_text(self.table(name))
            self.control[name] = ControlProcess(name, file, self.folder / f"{name}.log", self._controls)
            await self.control[name].start()

    def table(self, name: str) -> str:
        """The table [fleet] of a gateway, or of a control machine."""
        place = (
            ""
            if name in self.control_names
            else (
                f'advertise = "{_text(self.reached[name])}"\n'
                f'region = "r"\nzone = "z{int(name[1:]) % ZONES}"\n'
            )
        )
        seats = "".join(
            f'[[fleet.control]]\nname = "{each}"\nregion = "r"\nzone = "z{number % ZONES}"\n'
            f'address = "{_text(self.reached[each])}"\n'
            for number, each in enumerate(self.control_names)
        )
        return (
            f'\n[fleet]\nname = "test"\nlisten = "{_text(self.members[name])}"\n{place}'
            f'record = "{self.record(name)}"\n{self._viewed}\n{seats}'
        )

    async def _close(self) -> None:
        for control in self.control.values():
            await control.kill()
        await super()._close()

    # What the records say.

    def cells(self) -> dict[str, str]:
        """The cell that each gateway last joined and has not left, by its name."""
        held: dict[str, str] = {}
        for each in self.beliefs():
            if each.kind == "joined":
                held[each.name] = str(each.about["cell"])
            elif each.kind == "parted":
                held.pop(each.name, None)
        return held

    def of(self, cell: str) -> list[MembershipRecord]:
        """What was believed in one cell's view."""
        return [each for each in self.beliefs() if each.about.get("fleet") == cell]

    def leader(self) -> str:
        """The control machine that last began to lead and has not ceased; "" for none."""
        found = ""
        for each in self.beliefs():
            if each.kind == "control leads":
                found = each.name
            elif each.kind == "control leads no more" and each.name == found:
                found = ""
        return found

    def amiss_in_cells(self) -> list[Inconsistency]:
        """What does not fit together in the records of every view, the control machines' own among them."""
        gone = [
            (entry.at, entry.gateway)
            for entry in self.ledger.entries
            if isinstance(entry, GatewayKilled | GatewayExited)
        ]
        found: list[Inconsistency] = []
        for cell in sorted({str(each.about["fleet"]) for each in self.beliefs() if "fleet" in each.about}):
            told = self.of(cell)
            found += views(told) + rights(told, gone)[0]
        told = self.beliefs()
        return sorted(found + backward(told) + together(told) + lingering(told) + given_up(told, gone))


def backward(beliefs: Iterable[MembershipRecord]) -> list[Inconsistency]:
    """Gateways that went by an older word on their cell after a newer."""
    newest: dict[tuple[str, int], tuple[int, ...]] = {}
    found = []
    for each in beliefs:
        if each.kind != "joined":
            continue
        number = msgspec.convert(each.about["number"], tuple[int, ...])
        if number < newest.get(each.who, ()):
            found.append(Inconsistency(each.at, "view", f"{each.name} goes back to {number}"))
        newest[each.who] = max(number, newest.get(each.who, ()))
    return found


def together(beliefs: Iterable[MembershipRecord]) -> list[Inconsistency]:
    """Gateways that joined a cell before they had left another."""
    inside: dict[tuple[str, int], str] = {}
    found = []
    for each in beliefs:
        if each.kind == "joined":
            if each.who in inside:
                found.append(Inconsistency(each.at, "view", f"{each.name} is in two cells"))
            inside[each.who] = str(each.about["cell"])
        elif each.kind == "parted":
            inside.pop(each.who, None)
    return found


def lingering(beliefs: Iterable[MembershipRecord]) -> list[Inconsistency]:
    """Gateways that parted from a cell without giving back what they held there."""
    until: dict[tuple[tuple[str, int], str], int] = {}
    found = []
    for each in beliefs:
        key = each.who, str(each.about.get("fleet", each.about.get("cell", "")))
        if each.kind == "part":
            lasts = cast(int, each.about["lasts"])
            until[key] = each.at + lasts * bool(each.about["part"])
        elif each.kind in ("left", "fenced", "made way"):
            until.pop(key, None)
        elif each.kind == "parted" and until.get(key, 0) > each.at:
            found.append(
                Inconsistency(each.at, "rights", f"{each.name} parted from {key[1]} and keeps its slots")
            )
    return found


def given_up(beliefs: Iterable[MembershipRecord], gone: Iterable[tuple[int, str]]) -> list[Inconsistency]:
    """Cells that a control machine gave up while a gateway that runs was in them. `gone`: when a process of a
    name was killed or had ended."""
    inside: dict[str, str] = {}
    ends = sorted(gone)
    found = []
    for each in beliefs:
        while ends and ends[0][0] <= each.at:
            inside.pop(ends.pop(0)[1], None)
        if each.kind == "joined":
            inside[each.name] = str(each.about["cell"])
        elif each.kind in ("parted", "left"):
            inside.pop(each.name, None)
        elif each.kind == "control retired" and each.about["cell"] in inside.values():
            found.append(
                Inconsistency(each.at, "view", f"{each.about['cell']} is given up with gateways in it")
            )
    return found


def whole_cells(fleet: CelledFleet) -> str:
    """Whether every gateway that runs is in a cell whose last view, at each of them, is of just the gateways
    of that cell that run, beside control machines: nothing, or what is amiss."""
    cells, running = fleet.cells(), {g.name for g in fleet.gateways if g.running}
    if lacking := running - cells.keys():
        return f"{sorted(lacking)} are in no cell"
    for cell in {cells[name] for name in running}:
        inside = {name for name in running if cells[name] == cell}
        last = {each.name: each for each in fleet.of(cell) if each.kind == "view" and each.name in inside}
        numbers = {str(each.about["number"]) for each in last.values()}
        if last.keys() != inside or len(numbers) != 1:
            return f"{cell}: {len(numbers)} views at {sorted(last)}"
        for each in last.values():
            members = {name for name, _ in each.about["members"]}  # type: ignore[attr-defined]
            if members - set(fleet.control_names) != inside:
                return f"{cell}: {each.name} holds a view of {sorted(members)}"
    return ""


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
