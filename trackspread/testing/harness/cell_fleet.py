"""Runs fleets of gateways in cells with their control machines, each in a process of its own.

All messages between any two of them go over the faulty network.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from ..judge.membership_records import (
    Inconsistency,
    MembershipRecord,
    find_grant_overlaps,
    find_view_conflicts,
)
from ..standins.loopback import address_text
from ..standins.scenario import Scenario
from .cell_records import double_memberships, older_placements, retired_with_members, unreturned_slots
from .fleet import Fleet
from .gateway_process import RUN_COMMAND, STOP_TIMEOUT_S
from .limited_process import LimitedProcess, limited_command

CONTROL_COMMAND = ("-m", "trackspread")
MAX_DESCRIPTORS = 1_024  # limit on open files of a control machine
ZONES = 2  # number of zones of the one region


class ControlProcess(LimitedProcess):
    """Runs one control machine in a process of its own.

    `operator_file` is the path of its file, and `command` has the interpreter's arguments without
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
        """Sends SIGKILL and returns once the process has ended."""
        if self._process is not None and self.running:
            self._process.kill()
            await self._process.wait()

    async def end(self) -> int | None:
        """Sends SIGTERM and returns the exit status, or None if it never started.

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
    """Runs a fleet in cells, as `async with CelledFleet(scenario, control_count) as fleet`.

    Gateways n0, n1, ... and control machines c0, c1, ... alternate between zones z0 and z1 of one region.
    `view_settings` has further keys of every table [fleet]. `gateway_command` and `control_command` have the
    interpreter's arguments that run each.
    """

    def __init__(
        self,
        scenario: Scenario,
        control_count: int,
        view_settings: str = "",
        gateway_command: tuple[str, ...] = RUN_COMMAND,
        control_command: tuple[str, ...] = CONTROL_COMMAND,
    ) -> None:
        super().__init__(scenario, gateway_command, view_settings=view_settings)
        self._control_command = control_command
        self.control_names = [f"c{number}" for number in range(control_count)]
        self.control_machines: dict[str, ControlProcess] = {}

    async def __aenter__(self) -> CelledFleet:
        await super().__aenter__()
        return self

    async def _prepare_view(self, names: Sequence[str]) -> None:
        """Prepares the views and starts the control machines."""
        await super()._prepare_view([*names, *self.control_names])
        for name in self.control_names:
            operator_file = self.folder / f"{name}.toml"
            operator_file.write_text(self.fleet_table(name))
            control = ControlProcess(name, operator_file, self.folder / f"{name}.log", self._control_command)
            self.control_machines[name] = control
            await control.start()

    def fleet_table(self, name: str) -> str:
        """Returns the table [fleet] of a gateway or a control machine."""
        placement = ""
        if name not in self.control_names:
            placement = (
                f'advertise = "{address_text(self.advertised_addresses[name])}"\n'
                f'region = "r"\nzone = "z{int(name[1:]) % ZONES}"\n'
            )
        control_tables = "".join(
            f'[[fleet.control]]\nname = "{control}"\nregion = "r"\nzone = "z{number % ZONES}"\n'
            f'address = "{address_text(self.advertised_addresses[control])}"\n'
            for number, control in enumerate(self.control_names)
        )
        return (
            f'\n[fleet]\nname = "test"\nlisten = "{address_text(self.member_addresses[name])}"\n{placement}'
            f'record = "{self.record_path(name)}"\n{self.view_settings}\n{control_tables}'
        )

    async def _close(self) -> None:
        for control in self.control_machines.values():
            await control.kill()
        await super()._close()

    def cells_by_gateway(self) -> dict[str, str]:
        """Returns the cell that each gateway last joined and has not left."""
        cells: dict[str, str] = {}
        for record in self.records():
            if record.kind == "joined":
                cells[record.name] = str(record.about["cell"])
            elif record.kind == "parted":
                cells.pop(record.name, None)
        return cells

    def records_of_cell(self, cell: str) -> list[MembershipRecord]:
        """Returns the records that concern one cell's view."""
        return [record for record in self.records() if record.about.get("fleet") == cell]

    def leader(self) -> str:
        """Returns the control machine that last began to lead and still leads, or "" if there is none."""
        leader = ""
        for record in self.records():
            if record.kind == "control leads":
                leader = record.name
            elif record.kind == "control leads no more" and record.name == leader:
                leader = ""
        return leader

    def inconsistencies(self) -> list[Inconsistency]:
        """Returns inconsistencies in the records of every view, including the control machines' own view."""
        process_ends = self.process_ends()
        records = self.records()
        found: list[Inconsistency] = []
        for cell in sorted({str(record.about["fleet"]) for record in records if "fleet" in record.about}):
            cell_records = self.records_of_cell(cell)
            found += find_view_conflicts(cell_records) + find_grant_overlaps(cell_records, process_ends)[0]
        found += older_placements(records) + double_memberships(records) + unreturned_slots(records)
        return sorted(found + retired_with_members(records, process_ends))


def unsettled_cells(fleet: CelledFleet) -> str:
    """Returns why the cells are not settled, or "" once they are.

    They are settled when every running gateway is in a cell and its last view of that cell contains exactly
    the running gateways of the cell and control machines.
    """
    cells = fleet.cells_by_gateway()
    running = {gateway.name for gateway in fleet.gateways if gateway.running}
    if without_cell := running - cells.keys():
        return f"{sorted(without_cell)} are in no cell"
    for cell in {cells[name] for name in running}:
        if reason := _unsettled_cell(fleet, cell, {name for name in running if cells[name] == cell}):
            return reason
    return ""


def _unsettled_cell(fleet: CelledFleet, cell: str, gateways: set[str]) -> str:
    last_views = {
        record.name: record
        for record in fleet.records_of_cell(cell)
        if record.kind == "view" and record.name in gateways
    }
    numbers = {str(record.about["number"]) for record in last_views.values()}
    if last_views.keys() != gateways or len(numbers) != 1:
        return f"{cell}: {len(numbers)} views at {sorted(last_views)}"
    for record in last_views.values():
        members = {name for name, _ in record.about["members"]}  # type: ignore[attr-defined]
        if members - set(fleet.control_names) != gateways:
            return f"{cell}: {record.name} holds a view of {sorted(members)}"
    return ""
