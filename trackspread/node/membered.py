"""The gateway's side of the view: the operator's table to a host, and what operators ask of it.

May know: configuration, the view. Decides nothing.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import msgspec

from ..config.addresses import ConfigError, address
from ..config.operator import Fleet
from ..membership.host import DESCRIPTORS, Host, born_now
from ..membership.report import Report, report
from ..membership.terms import MS, SECOND, Settings
from ..membership.wire import NAME_MOST, Keys, Wire

AGAIN = 0.05  # s between tries for an address that another process still holds
KEY_LEAST = 16  # bytes of a key file: fewer can be guessed


def keys(fleet: Fleet) -> Keys:
    """Read anew; raises `ConfigError`."""
    return Keys(*(_key(which, getattr(fleet, which)) for which in ("key", "previous")))


def _key(which: str, path: str) -> bytes:
    if not path:
        return b""
    try:
        found = Path(path).read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"fleet.{which}: {path}: {error.strerror}; wanted a file with a key") from None
    if len(found) < KEY_LEAST:
        raise ConfigError(f"fleet.{which}: {path}: found {len(found)} bytes, wanted {KEY_LEAST} or more")
    return found


def _version() -> str:
    try:
        return version("trackspread")
    except PackageNotFoundError:
        return "source"


class Membered:
    """What the gateway holds of the view; a new host each time that it takes part."""

    descriptors = DESCRIPTORS

    def __init__(self, name: str, fleet: Fleet, now: Callable[[], int]) -> None:
        """Raises `ConfigError`."""
        if len(name) > NAME_MOST:
            raise ConfigError(f"name: found {len(name)} characters, wanted {NAME_MOST} at most: "
                              "fleet.name is set")
        self._name, self._fleet, self._now, self._keys = name, fleet, now, keys(fleet)
        self.host: Host | None = None

    async def start(self, patience: float = 0.0) -> None:
        """Raises `OSError`. `patience`: s for which a process that goes may still hold the address."""
        loop = asyncio.get_running_loop()
        end = loop.time() + patience
        while True:
            try:
                return await self._start()
            except OSError:
                if loop.time() >= end:
                    raise
                await asyncio.sleep(AGAIN)

    async def _start(self) -> None:
        fleet, listen = self._fleet, address(self._fleet.listen, "fleet.listen")
        reached = address(fleet.advertise, "fleet.advertise") if fleet.advertise else listen
        settings = Settings(fleet.name, self._name, born_now(), reached, fleet.seed_addresses(), _version(),
                            int(fleet.period_ms * MS), fleet.most, int(fleet.keep_s * SECOND))
        host = Host(
            settings, listen, Wire(fleet.name, self._keys, fleet.most), int.from_bytes(os.urandom(8)),
            self._now, record=Path(fleet.record) if fleet.record else None,
        )
        try:
            await host.start()
        except OSError:
            host.close(leave=False)
            raise
        self.host = host

    def rekey(self, fleet: Fleet) -> None:
        """Keys that changed; raises `ConfigError`, and the old ones go on."""
        self._keys = keys(fleet)
        if self.host is not None:
            self.host.wire.keys = self._keys

    def close(self, leave: bool = True) -> None:
        """`leave` False: another process goes on under this name, the fleet is told nothing."""
        if self.host is not None:
            self.host.close(leave)
            self.host = None

    def report(self) -> Report | None:
        return report(self._now(), self.host) if self.host is not None else None

    def answer(self) -> tuple[int, str]:
        """For the operators' door."""
        told = self.report()
        if told is None:
            return 503, "takes no part in the fleet at this moment\n"
        return 200, msgspec.json.encode(told).decode() + "\n"
