"""Runs one control machine from its start to its end, and handles signals.

This module may depend on configuration and cells. It makes no decisions.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import time
from collections.abc import Callable
from pathlib import Path

import uvloop

from ..cells.controller import ControlSettings, Controller
from ..cells.topology import MAX_CELL_MEMBERS, CellPolicy
from ..cells.host import Host
from ..cells.wire import CellsWire
from ..config import operator
from ..config.addresses import ConfigError, address
from ..config.operator import Fleet
from ..membership.host import created_now_ms
from ..membership.identifiers import MS, SECOND, Epoch
from .cell_part import control_machines
from .configuration_replica import make_replica
from .fleet_keys import program_version, read_keys
from .random_seed import random_seed

log = logging.getLogger("trackspread")


def make_host(
    name: str, fleet: Fleet, leadership_changed: Callable[[Epoch | None], None] = lambda epoch: None
) -> Host:
    """Returns the host of the control machine `name`, not started.

    `leadership_changed` is called with the epoch in which the machine leads, or None once it no longer leads.
    Raises `ConfigError`, and `OSError` if its record cannot be written.
    """
    machines = control_machines(fleet)
    own = next((machine for machine in machines if machine.name == name), None)
    if own is None:
        names = ", ".join(machine.name for machine in machines) or "none, as fleet.control is empty"
        raise ConfigError(f"NAME: must be a control machine in fleet.control ({names}), got {name!r}")
    settings = ControlSettings(
        fleet.name,
        name,
        created_now_ms(),
        machines,
        program_version(),
        CellPolicy(max_fleet_gateways=fleet.gateways),
        int(fleet.period_ms * MS),
        int(fleet.keep_s * SECOND),
    )
    core = Controller(settings, time.monotonic_ns(), random_seed())
    wire = CellsWire(fleet.name, read_keys(fleet), max(MAX_CELL_MEMBERS, 2 * len(machines)))
    record = Path(fleet.record) if fleet.record else None
    # A file with `fleet.region` also belongs to a gateway, and `fleet.listen` is that gateway's address.
    listen = address(fleet.listen, "fleet.listen") if fleet.listen and not fleet.region else own.address
    return Host(core, listen, wire, time.monotonic_ns, record, on_leadership=leadership_changed)


async def serve(name: str, file: Path) -> None:
    """Runs until SIGTERM or SIGINT, then shuts down gracefully; SIGHUP reloads the keys.

    Raises `ConfigError`.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    settings_file = operator.load(file)
    try:
        host = make_host(name, settings_file.fleet)
        replica = make_replica(settings_file, host.core) if isinstance(host.core, Controller) else None
    except OSError as error:
        raise ConfigError(f"{file}: record: must be a writable file: {error.strerror}") from None

    def reload_keys() -> None:
        try:
            host.wire.keys = read_keys(operator.load(file).fleet)
            if replica is not None:
                replica.wire.keys = host.wire.keys
        except ConfigError as error:
            log.error(
                "configuration: the fleet's keys cannot be read, the present ones stay in force: %s", error
            )

    loop.add_signal_handler(signal.SIGHUP, reload_keys)
    try:
        await host.start()
        if replica is not None:
            await replica.start()
    except OSError as error:
        raise ConfigError(f"cannot listen: {error}") from None
    await stop.wait()
    log.info("%s stopping", name)
    if replica is not None:
        replica.close()
    host.close()


def run(name: str, file: Path) -> int:
    """Runs the control machine in the foreground; raises `ConfigError`."""
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    log.setLevel(operator.load(file).log.level.upper())
    uvloop.run(serve(name, file))
    return 0
