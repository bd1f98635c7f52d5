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
import xxhash

from ..config.addresses import ConfigError, address
from ..config.operator import Fleet
from ..decide.events import FleetChanged
from ..decide.peer_messages import MAX_MESSAGE_BYTES
from ..membership.host import Host, created_now_ms
from ..membership.transport import DESCRIPTORS
from ..membership.report import FleetReport, fleet_report
from ..membership.slot_allocation import slots_of
from ..membership.identifiers import MS, SECOND, ListPosition
from ..membership.settings import MemberSettings
from ..membership.wire import MAX_NAME_LENGTH, Keys, Wire
from .bind_retry import bound_within

READY_MOST = 5.0  # s that a start waits for a part: over an election; what needs none is served then
LOOK = 0.02  # s between looks for it
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


def program_version() -> str:
    """Of this program, for the others of the fleet."""
    try:
        return version("trackspread")
    except PackageNotFoundError:
        return "source"


def number(name: str) -> int:
    """By which the module knows a gateway: the same everywhere, 32 bits."""
    return xxhash.xxh32_intdigest(name.encode())


class Membered:
    """What the gateway holds of the view; a new host each time that it takes part."""

    descriptors = DESCRIPTORS

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        now: Callable[[], int],
        place: ListPosition = (0, 1),
        changed: Callable[[FleetChanged], None] = lambda event: None,
        heard: Callable[[int, bytes], None] = lambda sender, data: None,
    ) -> None:
        """`place`: in the platform's list of gateways. `changed` is told of the fleet whenever it is not as
        it was, `heard` of what another has to say. Raises `ConfigError`."""
        if len(name) > MAX_NAME_LENGTH:
            raise ConfigError(
                f"name: found {len(name)} characters, wanted {MAX_NAME_LENGTH} at most: fleet.name is set"
            )
        self._name, self._fleet, self._now, self._keys = name, fleet, now, keys(fleet)
        self.host: Host | None = None
        self._changed, self._heard = changed, heard
        self._names: dict[int, str] = {}  # of the others, by number
        self._theirs: dict[int, int] = {}  # the slots that each says it holds, by number
        self._place, self._seats = place, tuple(slots_of((n, place[1])) for n in range(place[1]))
        self._last = FleetChanged(number(name), (), (number(name),), self._seats, 0, (), 0, 0)

    def begin(self) -> None:
        """From now on nothing that all share is acted on without a part of it."""
        self._changed(self._last)

    async def ready(self) -> None:
        """Until there is a part of what all share to act on; not for ever."""
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_MOST
        while self.host is not None and not self.host.core.usable_slots(self._now()) and loop.time() < end:
            await asyncio.sleep(LOOK)

    def tell(self, to: int | None, data: bytes) -> None:
        """To one gateway by its number, or to all."""
        if self.host is not None:
            names = self._names.values() if to is None else [self._names[to]] if to in self._names else []
            self.host.send_data(names, data)

    def _came(self, name: str, data: bytes, part: int) -> None:
        sender = number(name)
        if self._theirs.get(sender) != part and sender in self._names:
            self._theirs[sender] = part
            self._look()
        if len(data) <= MAX_MESSAGE_BYTES:
            self._heard(sender, data)

    def _look(self) -> None:
        """The fleet as it is now, for whoever decides by it."""
        if (host := self.host) is None:
            return
        core = host.core
        me, holding = number(self._name), core.lease
        here = {number(p.update.name): p.update for p in core.member_table.present()}
        here.pop(me, None)  # of two names with one number, one is not talked to: that is safe
        slow = {n for n, word in here.items() if word.slow} | (
            {me} if core.member_table.own_update.slow else set()
        )
        everybody = sorted((me, *here))
        slots, until = (0, 0) if core.has_left else (holding.granted_slots, holding.valid_until_ns)
        others = tuple(sorted(here))
        homes = tuple(n for n in everybody if n not in slow) or tuple(everybody)
        theirs = tuple(self._theirs.get(n, 0) for n in others)
        event = FleetChanged(me, others, homes, self._seats, slots, theirs, until, holding.granted_until_ns)
        self._names = {n: word.name for n, word in here.items()}
        self._theirs = {n: slots for n, slots in self._theirs.items() if n in here}
        if event != self._last:
            self._last = event
            self._changed(event)

    async def start(self, patience: float = 0.0) -> None:
        """Raises `OSError`. `patience`: s for which a process that goes may still hold the address."""
        await bound_within(patience, self._start)

    async def _start(self) -> None:
        fleet, listen = self._fleet, address(self._fleet.listen, "fleet.listen")
        reached = address(fleet.advertise, "fleet.advertise") if fleet.advertise else listen
        settings = MemberSettings(
            fleet.name,
            self._name,
            created_now_ms(),
            reached,
            fleet.seed_addresses(),
            program_version(),
            int(fleet.period_ms * MS),
            fleet.most,
            self._place,
            int(fleet.keep_s * SECOND),
        )
        host = Host(
            settings,
            listen,
            Wire(fleet.name, self._keys, fleet.most),
            int.from_bytes(os.urandom(8)),
            self._now,
            Path(fleet.record) if fleet.record else None,
            self._look,
            self._came,
        )
        self.host = host
        try:
            await host.start()
        except OSError:
            self.host = None
            host.close(leave=False)
            raise

    def rekey(self, fleet: Fleet) -> None:
        """Keys that changed; raises `ConfigError`, and the old ones go on."""
        self._keys = keys(fleet)
        if self.host is not None:
            self.host.wire.keys = self._keys

    def close(self, leave: bool = True) -> None:
        """`leave` False: another process goes on under this name, the fleet is told nothing."""
        if self.host is not None:
            self.host.close(leave)
            self._look()
            self.host = None

    def report(self) -> FleetReport | None:
        if (host := self.host) is None:
            return None
        return fleet_report(self._now(), host.core, host.counts, host.wire.dropped)

    def answer(self) -> tuple[int, str]:
        """For the operators' door."""
        told = self.report()
        if told is None:
            return 503, "takes no part in the fleet at this moment\n"
        return 200, msgspec.json.encode(told).decode() + "\n"
