"""The RESP server: commands to calls, answers back in the order of the commands."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import struct
import termios
from collections import deque
from typing import Protocol, cast

import hiredis

from ..interface import Repeat
from .config import Config

log = logging.getLogger(__name__)

VALUE_MOST = 64 << 10  # bytes of one value, by the protocol
COMMAND_MOST = 4 * VALUE_MOST  # bytes of one unfinished command; beyond it the rest is not waited for
ARGUMENTS_MOST = 64  # of a command: a header that names millions would have their places set aside
WAIT_MOST = 86_400_000  # ms: no client waits longer than a day
QUIET = 0.5  # s without a new connection after which a stopping gateway closes its door; the front needs 0.4
ACCEPT_LOOK = 0.01  # s in which a stopping gateway's loop surely turns to its sockets
IDLE_LOOK = 0.02  # s between looks for connections that have come to rest, while stopping
SECOND = 1_000_000_000
RETRY_FLAG = 2  # bit of `options`: a client's repeat


class BadCall(ValueError):
    """A command that cannot be taken; the text is the client's answer."""


class Call:
    """One request as a client put it."""

    __slots__ = ("body", "cls", "customer", "first", "front", "head", "options", "plan", "spread", "tail",
                 "units", "wait_ms")

    def __init__(
        self, front: tuple[bytes, ...], head: bytes, tail: bytes, body: tuple[bytes, ...], cls: int,
        plan: int, customer: int, wait_ms: int, units: float, spread: int, first: int, options: int,
    ) -> None:
        self.front, self.head, self.tail, self.body = front, head, tail, body
        self.cls, self.plan, self.customer, self.wait_ms = cls, plan, customer, wait_ms
        self.units, self.spread, self.first, self.options = units, spread, first, options


class Catalogue:
    """Names of classes and plans, for reading calls."""

    def __init__(self, config: Config) -> None:
        self._classes = {name: (i, c.repeat) for i, (name, c) in
                         enumerate(zip(config.classes, config.settings.classes, strict=True))}
        self._plans = {name: i for i, name in enumerate(config.plans)}
        self._gateways = config.settings.gateways

    def read(self, args: list[bytes]) -> Call:
        """A call from a command's words; raises `BadCall` with a plain reason."""
        if len(args) not in (4, 5):
            raise BadCall("wrong number of arguments")
        customer = _customer(args[1])
        if not 0 < len(args[2]) <= 64:
            raise BadCall("bad request id")
        if len(args) == 5 and len(args[4]) > VALUE_MOST:
            raise BadCall("value over 64 KiB")
        if len(args[3]) > 1024:
            raise BadCall("list of names and values too long")
        pairs = [item.partition(b"=")[::2] for item in args[3].split(b",")]
        named = dict(pairs)
        if len(named) != len(pairs):
            raise BadCall("a name stands twice")
        cls, repeat = self._classes.get(named.get(b"c", b""), (-1, Repeat.SAFE))
        if cls < 0:
            raise BadCall("unknown class")
        plan = self._plans.get(named.get(b"t", b""), -1)
        if plan < 0:
            raise BadCall("unknown plan")
        if (args[0].upper() == b"CALL.GET") != (repeat is Repeat.SAFE):
            raise BadCall("the class is not served by this command")
        if repeat is Repeat.KEYED and not named.get(b"k"):
            raise BadCall("k missing: the class wants an idempotency key")
        at = next(i for i, pair in enumerate(pairs) if pair[0] == b"d") if b"d" in named else -1
        if at < 0:
            raise BadCall("d missing")
        items = args[3].split(b",")
        before, after = b",".join(items[:at]), b",".join(items[at + 1:])
        return Call(
            front=(args[0], args[1], args[2]),
            head=before + b"," if before else b"",
            tail=b"," + after if after else b"",
            body=tuple(args[4:]),
            cls=cls,
            plan=plan,
            customer=customer,
            wait_ms=_whole(named, b"d", 0, WAIT_MOST),
            units=_units(named),
            spread=_whole(named, b"spread", 1, self._gateways),
            first=_whole(named, b"first", 0, self._gateways - 1),
            options=RETRY_FLAG if named.get(b"r") == b"1" else 0,
        )


def _customer(word: bytes) -> int:
    try:
        number = int(word, 16) if len(word) == 16 else -1
    except ValueError:
        number = -1
    if not 0 <= number < 1 << 33:
        raise BadCall("bad customer")
    return number


def _whole(named: dict[bytes, bytes], key: bytes, least: int, most: int) -> int:
    word = named.get(key, b"")
    if not (word.isdigit() and len(word) < 12 and least <= int(word) <= most):
        raise BadCall(f"bad or missing {key.decode()}")
    return int(word)


def _units(named: dict[bytes, bytes]) -> float:
    try:
        units = float(named.get(b"units", b"1"))
    except ValueError:
        units = -1.0
    if not 0.0 < units < 1e9:
        raise BadCall("bad units")
    return units


class Slot:
    """The place of one answer in its connection's order."""

    __slots__ = ("answer", "client", "request")

    def __init__(self, client: Client, request: int = -1) -> None:
        self.client, self.request = client, request
        self.answer: bytes | None = None


class Requests(Protocol):
    """What the server needs of the gateway."""

    def ready(self) -> bool: ...

    def take(self, call: Call, slot: Slot) -> None: ...

    def left(self, request: int) -> None: ...


class _Unready:
    """Stands for a command that has not come whole."""


_UNREADY = _Unready()


class Client(asyncio.Protocol):
    """One client's connection."""

    __slots__ = ("_ending", "_owner", "_reader", "_received", "_transport", "slots")

    def __init__(self, owner: Clients) -> None:
        self._owner = owner
        self._reader = hiredis.Reader(notEnoughData=_UNREADY)
        self._received = 0
        self._ending = False
        self._transport: asyncio.Transport | None = None
        self.slots: deque[Slot] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._owner.came(self)

    def data_received(self, data: bytes) -> None:
        if not self._received and not _plausible(data):
            return self._broken("expected an array of bulk strings")
        self._received += len(data)
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not _UNREADY:
                self._received = 0
                if not isinstance(words, list) or not all(isinstance(w, bytes) for w in words):
                    return self._broken("expected an array of bulk strings")
                if words:
                    self._command(words)
        except (hiredis.ProtocolError, ValueError) as error:
            return self._broken(str(error))
        if self._reader.has_data():
            self._received = max(self._received, 1)
            if self._received > COMMAND_MOST:
                self._broken("command too long")
        else:
            self._received = 0

    def _broken(self, reason: str) -> None:
        """Where the next command begins can't be known any more; what was taken before is still answered,
        or closing at once would lose it (rule 1)."""
        log.warning("client sent broken RESP: %s", reason)
        cast(asyncio.Transport, self._transport).pause_reading()
        self._ending = True
        slot = Slot(self)
        self.slots.append(slot)
        self.answer(slot, b"-ERR Protocol error: %b\r\n" % _line(reason))

    def _command(self, words: list[bytes]) -> None:
        slot, name = Slot(self), words[0].upper()
        self.slots.append(slot)
        if name in (b"CALL.GET", b"CALL.POST"):
            try:
                call = self._owner.catalogue.read(words)
            except BadCall as error:
                self.answer(slot, b"-ERR %b\r\n" % _line(str(error)))
            else:
                self._owner.requests.take(call, slot)
        elif name == b"PING" and len(words) == 1:
            # The front takes a gateway in on this word.
            ready = self._owner.requests.ready()
            self.answer(slot, b"+PONG\r\n" if ready else b"-LOADING no list of backends yet\r\n")
        else:
            self.answer(slot, b"-ERR unknown command\r\n")

    def answer(self, slot: Slot, answer: bytes) -> None:
        """Kept until all before it on this connection are answered."""
        slot.answer = answer
        slots = self.slots
        if slots[0] is slot and len(slots) == 1:
            slots.popleft()
            cast(asyncio.Transport, self._transport).write(answer)
        else:
            out = []
            while slots and slots[0].answer is not None:
                out.append(slots.popleft().answer or b"")
            if out:
                cast(asyncio.Transport, self._transport).write(b"".join(out))
        if self._ending and not slots:
            self.close()
        elif self._owner.closing and self.resting():
            # A client in a hurry would never be found at rest by a look now and then.
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.went(self)
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.answer is None:
                self._owner.requests.left(slot.request)

    def resting(self) -> bool:
        """Between requests, with nothing unread in the socket; what is unwritten goes out before a close."""
        transport = cast(asyncio.Transport, self._transport)
        if self.slots or self._received or transport.is_closing():
            return False
        waiting = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        return bool(struct.unpack("i", waiting)[0] == 0)

    def close(self) -> None:
        cast(asyncio.Transport, self._transport).close()

    def abort(self) -> None:
        cast(asyncio.Transport, self._transport).abort()


def _plausible(data: bytes) -> bool:
    """Whether a command may begin so: an array with a count that is no attack on memory."""
    count = data[1:data.find(b"\r")] if b"\r" in data[:16] else data[1:16]
    if data[:1] != b"*" or not (count.isdigit() or not count):
        return False
    return not count or int(count) <= ARGUMENTS_MOST


def _line(text: str) -> bytes:
    return text.encode().replace(b"\r", b" ").replace(b"\n", b" ")


class Clients:
    """The listening socket and the connections that came through it."""

    def __init__(self, config: Config, requests: Requests, most: int) -> None:
        self.catalogue, self.requests = Catalogue(config), requests
        self._address, self.bound = config.listen, most
        self._clients: dict[Client, None] = {}
        self._server: asyncio.Server | None = None
        self._last_came = 0.0
        self.closing = False
        # Every request has ended by then; only half a command can hold a connection open for longer.
        self._longest = max(c.deadline for c in config.settings.classes) / SECOND + QUIET

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Client(self), *self._address, backlog=1024)

    @property
    def port(self) -> int:
        return int(cast(asyncio.Server, self._server).sockets[0].getsockname()[1])

    def came(self, client: Client) -> None:
        self._last_came = asyncio.get_running_loop().time()
        self._clients[client] = None
        if len(self._clients) > self.bound:
            # Descriptors are few: whoever rests longest makes room, as a gateway may between requests.
            resting = next((c for c in self._clients if c is not client and c.resting()), None)
            if resting is not None:
                resting.close()

    def count(self) -> int:
        return len(self._clients)

    def went(self, client: Client) -> None:
        self._clients.pop(client, None)

    async def drain(self) -> None:
        """Take what comes until new connections cease, answer all of it, close what rests."""
        loop = asyncio.get_running_loop()
        self._last_came = loop.time()
        while (left := self._last_came + QUIET - loop.time()) > 0:
            await asyncio.sleep(left)
            # A loop that lagged wakes with its timer due and connections still in the accept queue: look
            # once more, or they would be closed unread.
            await asyncio.sleep(ACCEPT_LOOK)
        cast(asyncio.Server, self._server).close()
        self.closing = True
        end = loop.time() + self._longest
        while self._clients and loop.time() < end:
            for client in [c for c in self._clients if c.resting()]:
                client.close()
            await asyncio.sleep(IDLE_LOOK)
        self.shut()

    def shut(self) -> None:
        """Close everything as it stands."""
        if self._server is not None:
            self._server.close()
        for client in list(self._clients):
            client.abort()
