"""RESP2 towards clients, as the platform's pages have it: commands to calls, answers to bytes.

May know: words, names of classes and plans. May not know: connections, pools, decisions.
"""

from __future__ import annotations

import re

import hiredis

from ..call import RETRY_FLAG, Call
from ..call import InvalidCall
from ..config.roster import Roster
from ..decide.settings import Idempotency, Settings
from ..framing.resp import LONG_FROM, LONG_MOST, CommandFrames, FrameError, Words
from .seam import PING, Broken, Item

PAIRS_MOST = 1024  # bytes of a command's names and values
WAIT_MOST = 86_400_000  # ms: no client waits longer than a day

# As the protocol has them; Python's own `int` and `float` take signs, underscores and spaces too.
_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
_ID = re.compile(rb"[0-9A-Za-z_.:-]{1,64}")
_KEY = re.compile(rb"[\x21-\x7e]{1,128}")
_UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


class Catalogue:
    """Names of classes and plans, for reading calls."""

    def __init__(self, settings: Settings, classes: Roster, plans: tuple[bytes, ...]) -> None:
        self.configure(classes)
        self._plans = {name: i for i, name in enumerate(plans)}
        self._gateways = settings.gateway_count
        self._largest = max(1.0, settings.largest_request_units)

    def configure(self, classes: Roster) -> None:
        """These classes may be named from now on."""
        self._classes = {name: (n, classes.rules[n].idempotency) for name, n in classes.numbers().items()}

    def read(self, args: list[bytes]) -> Call:
        """A call from a command's words; raises `InvalidCall` with the reason."""
        if len(args) not in (4, 5):
            raise InvalidCall("wrong number of arguments")
        customer = _customer(args[1])
        if not _ID.fullmatch(args[2]):
            raise InvalidCall("bad request id")
        if len(args[3]) > PAIRS_MOST:
            raise InvalidCall("list of names and values too long")
        items = args[3].split(b",")
        pairs = [item.partition(b"=") for item in items]
        named = {name: value for name, _, value in pairs}
        if len(named) != len(pairs):
            raise InvalidCall("a name stands twice")
        if not all(name and equals for name, equals, _ in pairs):
            raise InvalidCall("expected a list of name=value")
        cls, repeat = self._classes.get(named.get(b"c", b""), (-1, Idempotency.IDEMPOTENT))
        if cls < 0:
            raise InvalidCall("unknown class")
        plan = self._plans.get(named.get(b"t", b""), -1)
        if plan < 0:
            raise InvalidCall("unknown plan")
        if (args[0].upper() == b"CALL.GET") != (repeat is Idempotency.IDEMPOTENT):
            raise InvalidCall("the class is not served by this command")
        if repeat is Idempotency.IDEMPOTENT and len(args) == 5:
            raise InvalidCall("the class takes no value")
        if repeat is Idempotency.WITH_KEY and not _KEY.fullmatch(named.get(b"k", b"")):
            raise InvalidCall("k missing: the class wants an idempotency key")
        if b"d" not in named:
            raise InvalidCall("d missing")
        at = next(i for i, pair in enumerate(pairs) if pair[0] == b"d")
        before, after = b",".join(items[:at]), b",".join(items[at + 1 :])
        return Call(
            raw_request=Words(
                (args[0], args[1], args[2]),
                before + b"," if before else b"",
                b"," + after if after else b"",
                tuple(args[4:]),
            ),
            request_id=args[2],
            request_class=cls,
            plan=plan,
            tenant=customer,
            wait_ms=_whole(named, b"d", 0, WAIT_MOST),
            units=_units(named, self._largest),
            gateway_span=_whole(named, b"spread", 1, self._gateways),
            first_gateway=_whole(named, b"first", 0, self._gateways - 1),
            options=RETRY_FLAG if named.get(b"r") == b"1" else 0,
            body_bytes=len(args[4]) if len(args) == 5 and len(args[4]) > LONG_FROM else 0,
        )


def _customer(word: bytes) -> int:
    number = int(word, 16) if _CUSTOMER.fullmatch(word) else -1
    if not 0 <= number < 1 << 33:
        raise InvalidCall("bad customer")
    return number


def _whole(named: dict[bytes, bytes], key: bytes, least: int, most: int) -> int:
    word = named.get(key, b"")
    if not (word.isdigit() and len(word) < 12 and least <= int(word) <= most):
        raise InvalidCall(f"bad or missing {key.decode()}")
    return int(word)


def _units(named: dict[bytes, bytes], most: float) -> float:
    word = named.get(b"units", b"1")
    units = float(word) if _UNITS.fullmatch(word) else -1.0
    if not 0.0 < units <= most:
        raise InvalidCall("bad units")
    return units


def _line(text: str) -> bytes:
    return text.encode().replace(b"\r", b" ").replace(b"\n", b" ")


class _Reading:
    """One connection's commands; hiredis reads what `CommandFrames` has found to be whole."""

    __slots__ = ("_body", "_catalogue", "_frames", "_parts", "_reader", "had", "held")

    def __init__(self, catalogue: Catalogue) -> None:
        self._catalogue = catalogue
        self._reader = hiredis.Reader()
        self._frames = CommandFrames()
        self._parts: list[bytes] = []  # of the command that has begun, but for a long last word
        self._body: list[bytes] = []  # of that word: kept as it comes, copied once
        # bytes of it; whether the command read last had one
        self.held = 0
        self.had = False

    @property
    def midway(self) -> bool:
        return self._frames.midway

    @property
    def size(self) -> int:
        return sum(map(len, self._parts)) + (LONG_MOST if self._frames.long else self.held)

    def unread(self) -> bytes:
        parts = self._parts
        self._parts = []
        return b"".join(parts)

    def read(self, data: bytes, at: int) -> tuple[int, Item | None]:
        frames, begin = self._frames, at
        try:
            while (end := -1 if frames.long else frames.scan(data, begin)) < 0:
                if not frames.long:
                    self._parts.append(data[begin:])
                    return -1, None
                if not self.held:
                    begin = self._long_begins(data, begin)
                taken = min(frames.rest, len(data) - begin)
                self._body.append(data[begin : begin + taken])
                self.held = self.held + taken
                begin = begin + taken
                frames.take(taken)
                if frames.long:
                    return -1, None
            for part in self._parts:
                self._reader.feed(part)
            self._parts.clear()
            self._reader.feed(data[begin:end])
            words = self._reader.gets()
            self.had = self.held > 0
            if self.had:
                words[-1] = b"".join(self._body)
                self.held = 0
                self._body.clear()
        except (FrameError, hiredis.ProtocolError) as error:
            raise Broken(str(error)) from None
        return end, self._item(words)

    def _long_begins(self, data: bytes, begin: int) -> int:
        """The reader is told of an empty word in its place; returns where its bytes begin."""
        head = b"".join(self._parts) + data[begin : self._frames.long_at]
        self._parts = [head[: head.rindex(b"$")] + b"$0\r\n"]
        return self._frames.long_at

    def _item(self, words: list[bytes]) -> Item:
        name = words[0].upper()
        if name in (b"CALL.GET", b"CALL.POST"):
            try:
                return self._catalogue.read(words)
            except InvalidCall as error:
                return b"-ERR %b\r\n" % _line(str(error))
        # The platform's own front takes a gateway in on the answer to PING.
        return PING if name == b"PING" and len(words) == 1 else b"-ERR unknown command\r\n"


class RespFront:
    """RESP2, for all connections of one gateway."""

    def __init__(self, settings: Settings, classes: Roster, plans: tuple[bytes, ...]) -> None:
        self._catalogue = Catalogue(settings, classes, plans)
        self.configure = self._catalogue.configure

    def reading(self) -> _Reading:
        return _Reading(self._catalogue)

    def served(self, call: Call, value: bytes) -> bytes:
        return b"$%d\r\n%b\r\n" % (len(value), value)

    def begins(self, call: Call, length: int) -> bytes:
        return b"$%d\r\n" % length

    def whole(self, call: Call) -> bytes:
        return b"\r\n"

    def refused(self, call: Call, wait_ms: int) -> bytes:
        return b"-BUSY %d\r\n" % wait_ms if wait_ms else b"-BUSY\r\n"

    def failed(self, call: Call, reason: str) -> bytes:
        return self.bad(reason)

    def bad(self, reason: str) -> bytes:
        return b"-ERR %b\r\n" % _line(reason)

    def broken(self, reason: str) -> bytes:
        return b"-ERR Protocol error: %b\r\n" % _line(reason)

    def pong(self, ready: bool) -> bytes:
        return b"+PONG\r\n" if ready else b"-LOADING no list of backends yet\r\n"
