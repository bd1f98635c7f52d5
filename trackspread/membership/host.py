"""The core on sockets: datagrams and connections at one address, a timer, the log and the records.

Decides nothing. All that comes is bounded: a datagram by the wire, a table by the fleet's size, connections
by number and time. A fault in the core's handling of one word must cost that word alone.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import cast

from ..logs import Sparing
from .member import TICK, Member
from .record import Recorder
from .terms import SECOND, Action, Address, Exchange, Heard, Letter, Say, Settings, Told
from .wire import Wire

log = logging.getLogger(__name__)
log.addFilter(Sparing())
of_note = logging.getLogger(f"{__name__}.note")  # what members' coming and going must not drown

EXCHANGE_MOST = 2.0  # s for one exchange of tables
OWN_MOST, SERVED_MOST = 4, 16  # exchanges under way that were begun here, and by others
DESCRIPTORS = OWN_MOST + SERVED_MOST + 4  # of these, both sockets, the record, and one to spare
CHANGING = {"member", "part", "slow", "well", "left", "fenced", "renamed"}  # what the program may act on
NOTED = {"view", "fenced", "leads", "leads no more", "slow", "well", "renamed", "left", "forgot"}


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, host: Host) -> None:
        self._host = host

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._host.came(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """A dead member's port answers with an ICMP error; datagrams may be lost anyway."""


class Host:
    """One member that runs."""

    def __init__(
        self, settings: Settings, listen: Address, wire: Wire, seed: int, now: Callable[[], int],
        record: Path | None = None, changed: Callable[[], None] = lambda: None,
        heard: Callable[[str, bytes, int], None] = lambda name, data, part: None,
    ) -> None:
        """`changed` is called when members or this one's part are not as they were, `heard` with the words of
        others and the slots they hold. Raises `OSError` where the record can't be written."""
        self.settings, self.wire, self.now = settings, wire, now
        self.core = Member(settings, now(), seed)
        self.counts: Counter[str] = Counter()  # datagrams and bytes, sent and received; exchanges
        self._listen, self._changed, self._heard = listen, changed, heard
        self._packed: tuple[Letter, bytes] | None = None  # what was sent last: it often goes to several
        self._record = Recorder(record, *settings.who) if record is not None else None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._own: set[asyncio.Task[None]] = set()
        self._served = 0
        self._due = 0.0

    async def start(self) -> None:
        """Raises `OSError` where the address can't be had; what was bound by then is let go."""
        loop = asyncio.get_running_loop()
        made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            made.setblocking(False)
            made.bind(self._listen)
            self._server = await asyncio.start_server(self._serve, *self._listen, limit=self.wire.table_most)
        except OSError:
            made.close()
            raise
        transport, _ = await loop.create_datagram_endpoint(lambda: _Datagrams(self), sock=made)
        self._transport = transport
        self._do(self.core.start(self.now()))
        self._due = loop.time()
        self._tick()

    def close(self, leave: bool = True) -> None:
        """In good order; `leave` False: another process goes on under this name."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._do(self.core.leave(self.now()) if leave else self.core.make_way())
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._server is not None:
            self._server.close()
        for task in list(self._own):
            task.cancel()
        if self._record is not None:
            self._record.close()
            self._record = None

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._guarded(lambda: self.core.tick(self.now()))
        self._due = max(self._due + TICK / SECOND, loop.time())
        self._timer = loop.call_at(self._due, self._tick)

    def _guarded(self, call: Callable[[], Iterable[Action]]) -> None:
        try:
            self._do(call())
        except Exception:
            log.exception("fault in the view of the fleet")

    def came(self, data: bytes, source: Address) -> None:
        self.counts["received"] += 1
        self.counts["bytes received"] += len(data)
        letter = self.wire.unpack(data)
        if letter is not None:
            self._guarded(lambda: self.core.received(self.now(), letter, source))

    def tell(self, names: Iterable[str], data: bytes) -> None:
        """The program's words for other members."""
        self._do(self.core.words(names, data))

    def _do(self, actions: Iterable[Action]) -> None:
        changed = False
        for action in actions:
            match action:
                case Say(to, letter):
                    self._say(to, letter)
                case Exchange(to):
                    self._exchange(to)
                case Heard(name, data, part):
                    self._heard(name, data, part)
                case Told():
                    self._told(action)
                    changed |= action.kind in CHANGING
        if changed:
            self._changed()

    def _say(self, to: Address, letter: Letter) -> None:
        if self._transport is None:
            return
        if self._packed is None or self._packed[0] is not letter:
            self._packed = letter, self.wire.pack(letter)
        data = self._packed[1]
        self.counts["sent"] += 1
        self.counts["bytes sent"] += len(data)
        self._transport.sendto(data, to)

    def _told(self, told: Told) -> None:
        if self._record is not None:
            self._record.write(told.kind, told.about)
        if told.kind in NOTED:
            level = logging.WARNING if told.kind == "fenced" else logging.INFO
            of_note.log(level, "fleet: %s%s", told.kind, _plain(told))
        elif told.kind == "member":
            log.info("fleet: member%s", _plain(told))

    # Tables over connections.

    def _exchange(self, to: Address) -> None:
        if len(self._own) >= OWN_MOST or self._transport is None:
            return
        task = asyncio.get_running_loop().create_task(self._swap(to))
        self._own.add(task)
        task.add_done_callback(self._own.discard)

    async def _swap(self, to: Address) -> None:
        """Ours goes there, theirs comes back. Nobody there, or nothing to be believed: it is tried again."""
        writer: asyncio.StreamWriter | None = None
        local = None if self._listen[0] == "0.0.0.0" else (self._listen[0], 0)
        try:
            async with asyncio.timeout(EXCHANGE_MOST):
                reader, writer = await asyncio.open_connection(
                    *to, limit=self.wire.table_most, local_addr=local)
                writer.write(self.wire.pack_table(self.core.table(self.now())))
                await self._merge(reader)
            self.counts["exchanges"] += 1
        except (OSError, TimeoutError, EOFError):
            self.counts["exchanges failed"] += 1
        finally:
            if writer is not None:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._served >= SERVED_MOST or self._transport is None:
            writer.close()
            return
        self._served += 1
        try:
            async with asyncio.timeout(EXCHANGE_MOST):
                if await self._merge(reader):
                    writer.write(self.wire.pack_table(self.core.table(self.now())))
                    await writer.drain()
        except (OSError, TimeoutError, EOFError):
            pass
        finally:
            self._served -= 1
            writer.close()

    async def _merge(self, reader: asyncio.StreamReader) -> bool:
        size = int.from_bytes(await reader.readexactly(4))
        if size > self.wire.table_most:
            self.wire.dropped["too long"] += 1
            return False
        table = self.wire.unpack_table(await reader.readexactly(size))
        if table is not None:
            self._guarded(lambda: self.core.merge(self.now(), table))
        return table is not None


def _plain(told: Told) -> str:
    """For the log's readers."""
    about = told.about
    match told.kind:
        case "member":
            name, _ = cast(tuple[str, int], about["who"])
            slow = ", slow" if about["slow"] else ""
            return f" {name} is {about['state']}{slow}, says {about['by']}"
        case "view":
            names = ", ".join(name for name, _ in cast(tuple[tuple[str, int], ...], about["members"]))
            return f" {about['number']}: {names}"
        case "forgot":
            return f" {about['name']}, by an operator's word: slots {about['slots'] or 'none'} are free"
        case "fenced":
            return f" off: a newer process under this name is at {about['at']}, this one takes no part now"
    return ""


def born_now() -> int:
    """ms of wall clock: which process of a name is the newer."""
    return time.time_ns() // 1_000_000
