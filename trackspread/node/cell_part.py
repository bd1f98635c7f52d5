"""Makes the gateway a member of its cell, by the operator's `fleet` table, and reports the cell's view.

The cell's view has no effect on limits: these are shared by the platform's list of gateways, as without a
view. This module may depend on configuration and cells. It makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from msgspec import structs

from ..cells.gateway import Gateway, GatewaySettings
from ..cells.host import Host
from ..cells.topology import MAX_CELL_MEMBERS, ControlMachine, Zone
from ..cells.wire import CellsWire
from ..config.addresses import ConfigError, address
from ..config.operator import Fleet
from ..membership.host import created_now_ms
from ..membership.report import FleetReport, fleet_report
from ..membership.identifiers import MS, SECOND
from .fleet_keys import program_version
from .fleet_view_part import FleetViewPart
from .random_seed import random_seed


def control_machines(fleet: Fleet) -> tuple[ControlMachine, ...]:
    """Returns the control machines that the operator's file lists."""
    return tuple(
        ControlMachine(machine.name, machine.region, machine.zone, address(machine.address, "fleet.control"))
        for machine in fleet.control
    )


class CellPart(FleetViewPart[Host]):
    """Runs the gateway's membership of its cell."""

    unavailable = "is in no cell yet: no control machine has said which\n"

    def __init__(self, name: str, fleet: Fleet, now: Callable[[], int]) -> None:
        """Checks the settings; `now` is the gateway's clock, in ns. Raises `ConfigError`."""
        super().__init__(name, fleet, now)
        self._core: Gateway | None = None

    def _check_settings(self) -> None:
        super()._check_settings()
        if not self._fleet.region:
            raise ConfigError(
                "fleet.region: must be this gateway's region when fleet.control is set, got nothing"
            )
        if any(machine.name == self._name for machine in self._fleet.control):
            raise ConfigError(f"name: must differ from every name in fleet.control, got {self._name!r}")

    async def _start(self) -> None:
        fleet = self._fleet
        core = Gateway(self._settings(), self._now(), random_seed())
        host = Host(
            core,
            self._listen_address(),
            CellsWire(fleet.name, self._keys, MAX_CELL_MEMBERS),
            self._now,
            Path(fleet.record) if fleet.record else None,
        )
        try:
            await host.start()
        except OSError:
            host.close(leave=False)
            raise
        self.host = host
        self._core = core

    def _settings(self) -> GatewaySettings:
        fleet = self._fleet
        return GatewaySettings(
            fleet.name,
            self._name,
            created_now_ms(),
            self._advertised_address(),
            Zone(fleet.region, fleet.zone),
            control_machines(fleet),
            program_version(),
            int(fleet.period_ms * MS),
            int(fleet.keep_s * SECOND),
        )

    def close(self, leave: bool = True) -> None:
        """Ends the membership; with `leave` False another process continues it under this name."""
        if self.host is not None:
            self.host.close(leave)
            self.host = None
            self._core = None

    def report(self) -> FleetReport | None:
        """Returns the cell's present view, or None while this gateway is not a member of a cell."""
        host, core = self.host, self._core
        if host is None or core is None or core.member is None or core.placement is None:
            return None
        now = self._now()
        answered_s = None if core.answered_at_ns is None else round((now - core.answered_at_ns) / SECOND, 1)
        return structs.replace(
            fleet_report(now, core.member, host.counts, host.wire.dropped),
            fleet=self._fleet.name,
            cell=core.placement.cell.name,
            answered_s=answered_s,
        )
