"""One control machine from its start to its end: signals, keys read again.

May know: configuration, cells. Decides nothing.
"""

from __future__ import annotations

import asyncio
import logging
import os
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
from . import replicating
from .celled import machines
from .membered import keys, program_version

log = logging.getLogger("trackspread")


def made(name: str, fleet: Fleet, led: Callable[[Epoch | None], None] = lambda epoch: None) -> Host:
    """The control machine of this name, not yet started. `led`: told of the epoch under which it leads, or
    none. Raises `ConfigError`, and `OSError` where its record can't be written."""
    known = machines(fleet)
    me = next((machine for machine in known if machine.name == name), None)
    if me is None:
        names = ", ".join(machine.name for machine in known) or "none, as fleet.control is empty"
        raise ConfigError(f"NAME: found {name!r}, wanted a control machine's: {names}")
    settings = ControlSettings(
        fleet.name,
        name,
        created_now_ms(),
        known,
        program_version(),
        CellPolicy(max_fleet_gateways=fleet.gateways),
        int(fleet.period_ms * MS),
        int(fleet.keep_s * SECOND),
    )
    core = Controller(settings, time.monotonic_ns(), int.from_bytes(os.urandom(8)))
    wire = CellsWire(fleet.name, keys(fleet), max(MAX_CELL_MEMBERS, 2 * len(known)))
    record = Path(fleet.record) if fleet.record else None
    listen = address(fleet.listen, "fleet.listen") if fleet.listen and not fleet.region else me.address
    return Host(core, listen, wire, time.monotonic_ns, record, on_leadership=led)


async def serve(name: str, file: Path) -> None:
    """Until SIGTERM or SIGINT, then it ends in good order; SIGHUP has the keys read again."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    given = operator.load(file)
    try:
        host = made(name, given.fleet)
        replica = replicating.made(given, host.core) if isinstance(host.core, Controller) else None
    except OSError as error:
        raise ConfigError(f"{file}: record: {error.strerror}; wanted a file to write") from None

    def reread() -> None:
        try:
            host.wire.keys = keys(operator.load(file).fleet)
            if replica is not None:
                replica.wire.keys = host.wire.keys
        except ConfigError as error:
            log.error("configuration: the fleet's keys are not taken, the old ones go on: %s", error)

    loop.add_signal_handler(signal.SIGHUP, reread)
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
    """In the foreground; raises `ConfigError`."""
    logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(name)s %(levelname)s %(message)s")
    log.setLevel(operator.load(file).log.level.upper())
    uvloop.run(serve(name, file))
    return 0
