"""The gateway's side of cells: the operator's table to a host, and what operators ask of it.

It takes part in its cell's view and says who is in it. Limits are not shared by it: they go on as without a
view, by the platform's list of gateways. May know: configuration, cells. Decides nothing.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import msgspec
from msgspec import structs

from ..cells.gateway import Gateway, GatewaySettings
from ..cells.host import Host
from ..cells.topology import ControlMachine, Zone
from ..cells.wire import CellsWire
from ..config.addresses import ConfigError, address
from ..config.operator import Fleet
from ..membership.host import created_now_ms
from ..membership.transport import DESCRIPTORS
from ..membership.report import FleetReport, fleet_report
from ..membership.identifiers import MS, SECOND
from ..membership.wire import MAX_NAME_LENGTH
from .bind_retry import bound_within
from .membered import keys, program_version

CELL_MOST = 64  # members of one view


def machines(fleet: Fleet) -> tuple[ControlMachine, ...]:
    """The control machines, as the file has them."""
    return tuple(
        ControlMachine(seat.name, seat.region, seat.zone, address(seat.address, "fleet.control"))
        for seat in fleet.control
    )


class Celled:
    """What the gateway holds of its cell; a new host each time that it takes part."""

    descriptors = DESCRIPTORS

    def __init__(self, name: str, fleet: Fleet, now: Callable[[], int]) -> None:
        """Raises `ConfigError`."""
        if len(name) > MAX_NAME_LENGTH:
            raise ConfigError(
                f"name: found {len(name)} characters, wanted {MAX_NAME_LENGTH} at most: fleet.name is set"
            )
        if not fleet.region:
            raise ConfigError("fleet.region: found nothing, wanted this gateway's: fleet.control is set")
        if any(seat.name == name for seat in fleet.control):
            raise ConfigError(f"name: found {name!r}, which fleet.control has too, wanted another")
        self._name, self._fleet, self._now, self._keys = name, fleet, now, keys(fleet)
        self.host: Host | None = None
        self._core: Gateway | None = None

    async def start(self, patience: float = 0.0) -> None:
        """Raises `OSError`. `patience`: s for which a process that goes may still hold the address."""
        await bound_within(patience, self._start)

    async def _start(self) -> None:
        fleet, listen = self._fleet, address(self._fleet.listen, "fleet.listen")
        reached = address(fleet.advertise, "fleet.advertise") if fleet.advertise else listen
        zone = Zone(fleet.region, fleet.zone)
        settings = GatewaySettings(
            fleet.name,
            self._name,
            created_now_ms(),
            reached,
            zone,
            machines(fleet),
            program_version(),
            int(fleet.period_ms * MS),
            int(fleet.keep_s * SECOND),
        )
        core = Gateway(settings, self._now(), int.from_bytes(os.urandom(8)))
        host = Host(
            core,
            listen,
            CellsWire(fleet.name, self._keys, CELL_MOST),
            self._now,
            Path(fleet.record) if fleet.record else None,
        )
        try:
            await host.start()
        except OSError:
            host.close(leave=False)
            raise
        self.host, self._core = host, core

    def rekey(self, fleet: Fleet) -> None:
        """Keys that changed; raises `ConfigError`, and the old ones go on."""
        self._keys = keys(fleet)
        if self.host is not None:
            self.host.wire.keys = self._keys

    def close(self, leave: bool = True) -> None:
        """`leave` False: another process goes on under this name, its cell is told nothing."""
        if self.host is not None:
            self.host.close(leave)
            self.host = self._core = None

    def report(self) -> FleetReport | None:
        """Nothing while it takes no part, or is in no cell yet."""
        host, core = self.host, self._core
        if host is None or core is None or core.member is None or core.placement is None:
            return None
        now = self._now()
        told = fleet_report(now, core.member, host.counts, host.wire.dropped)
        since = None if core.answered_at_ns is None else round((now - core.answered_at_ns) / SECOND, 1)
        return structs.replace(told, fleet=self._fleet.name, cell=core.placement.cell.name, answered_s=since)

    def answer(self) -> tuple[int, str]:
        """For the operators' door."""
        told = self.report()
        if told is None:
            return 503, "is in no cell yet: no control machine has said which\n"
        return 200, msgspec.json.encode(told).decode() + "\n"
