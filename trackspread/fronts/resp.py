"""Implements the RESP2 protocol that clients speak: parses commands to calls and encodes answers.

It knows commands and the names of classes and plans. It knows no connections, pools or decisions.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from typing import cast

import hiredis

from ..call import RETRY_FLAG, Call
from ..call import InvalidCall
from ..config.roster import Roster
from ..decide.settings import Idempotency, Settings
from ..framing.message_parser import MessageParser
from ..framing.resp import CommandScanner, CommandWords, FrameError
from .protocol import PING, Item, ProtocolError

MAX_PARAMETERS_BYTES = 1024  # of the names and values of a command
MIN_PIECE_BYTES = 4 << 10  # of an incomplete command; shorter pieces are joined
MAX_WAIT_MS = 86_400_000  # a day: no client waits longer

# The forms that the protocol allows; Python's own `int` and `float` accept signs, underscores and spaces too.
_TENANT = re.compile(rb"[0-9a-fA-F]{16}")
_REQUEST_ID = re.compile(rb"[0-9A-Za-z_.:-]{1,64}")
_KEY = re.compile(rb"[\x21-\x7e]{1,128}")
_EMPTY_BODY = b"$0\r\n"  # the header that hiredis reads in place of a long body's
_UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


class CallParser:
    """Parses commands to calls; it holds the names of classes and plans."""

    def __init__(self, settings: Settings, classes: Roster, plans: tuple[bytes, ...]) -> None:
        self.configure(classes)
        self._plans = {name: index for index, name in enumerate(plans)}
        self._gateway_count = settings.gateway_count
        self._max_units = max(1.0, settings.largest_request_units)

    def configure(self, classes: Roster) -> None:
        """Replaces the classes that commands may name."""
        self._classes = {
            name: (index, classes.rules[index].idempotency) for name, index in classes.numbers().items()
        }

    def parse(self, words: list[bytes], long_body: tuple[bytes, ...] = ()) -> Call:
        """Returns the call of a command; raises `InvalidCall` with the reason.

        `long_body` has the pieces of a long body, in whose place the last word is empty.
        """
        if len(words) not in (4, 5):
            raise InvalidCall("wrong number of arguments")
        tenant = _tenant(words[1])
        if not _REQUEST_ID.fullmatch(words[2]):
            raise InvalidCall("bad request id")
        if len(words[3]) > MAX_PARAMETERS_BYTES:
            raise InvalidCall("list of names and values too long")
        items = words[3].split(b",")
        pairs = [item.partition(b"=") for item in items]
        parameters = {name: value for name, _, value in pairs}
        if len(parameters) != len(pairs):
            raise InvalidCall("a name stands twice")
        if not all(name and equals for name, equals, _ in pairs):
            raise InvalidCall("expected a list of name=value")
        request_class, idempotency = self._classes.get(
            parameters.get(b"c", b""), (-1, Idempotency.IDEMPOTENT)
        )
        if request_class < 0:
            raise InvalidCall("unknown class")
        plan = self._plans.get(parameters.get(b"t", b""), -1)
        if plan < 0:
            raise InvalidCall("unknown plan")
        if (words[0].upper() == b"CALL.GET") != (idempotency is Idempotency.IDEMPOTENT):
            raise InvalidCall("the class is not served by this command")
        if idempotency is Idempotency.IDEMPOTENT and len(words) == 5:
            raise InvalidCall("the class takes no value")
        if idempotency is Idempotency.WITH_KEY and not _KEY.fullmatch(parameters.get(b"k", b"")):
            raise InvalidCall("k missing: the class wants an idempotency key")
        if b"d" not in parameters:
            raise InvalidCall("d missing")
        position = next(index for index, pair in enumerate(pairs) if pair[0] == b"d")
        before, after = b",".join(items[:position]), b",".join(items[position + 1 :])
        return Call(
            raw_request=CommandWords(
                (words[0], words[1], words[2]),
                before + b"," if before else b"",
                b"," + after if after else b"",
                long_body or tuple(words[4:]),
            ),
            request_id=words[2],
            request_class=request_class,
            plan=plan,
            tenant=tenant,
            wait_ms=_integer(parameters, b"d", 0, MAX_WAIT_MS),
            units=_units(parameters, self._max_units),
            gateway_span=_integer(parameters, b"spread", 1, self._gateway_count),
            first_gateway=_integer(parameters, b"first", 0, self._gateway_count - 1),
            options=RETRY_FLAG if parameters.get(b"r") == b"1" else 0,
            body_bytes=sum(map(len, long_body)),
        )


def _tenant(text: bytes) -> int:
    number = int(text, 16) if _TENANT.fullmatch(text) else -1
    if not 0 <= number < 1 << 33:
        raise InvalidCall("bad customer")
    return number


def _integer(parameters: dict[bytes, bytes], name: bytes, min_value: int, max_value: int) -> int:
    text = parameters.get(name, b"")
    if not (text.isdigit() and len(text) < 12 and min_value <= int(text) <= max_value):
        raise InvalidCall(f"bad or missing {name.decode()}")
    return int(text)


def _units(parameters: dict[bytes, bytes], max_units: float) -> float:
    text = parameters.get(b"units", b"1")
    units = float(text) if _UNITS.fullmatch(text) else -1.0
    if not 0.0 < units <= max_units:
        raise InvalidCall("bad units")
    return units


def _single_line(text: str) -> bytes:
    return text.encode().replace(b"\r", b" ").replace(b"\n", b" ")


def _add_piece(pieces: list[bytes], piece: bytes, is_first_kept: bool = False) -> None:
    """Adds a piece to the last one if that is short, as an object for each short piece takes far more memory.

    `is_first_kept` says that nothing may be added to the first piece.
    """
    if len(pieces) > is_first_kept and len(pieces[-1]) < MIN_PIECE_BYTES:
        pieces[-1] += piece
    else:
        pieces.append(piece)


class _RespCommandReader:
    """Reads one connection's commands; hiredis parses those that `CommandScanner` found complete."""

    __slots__ = (
        "_body",
        "_has_begun_body",
        "_parse_words",
        "_parser",
        "_parts",
        "_scanner",
        "had_discarded_body",
        "had_long_body",
        "is_discarding",
        "long_body_bytes",
    )

    def __init__(self, parser: CallParser, parse_words: Callable[[Sequence[bytes]], object]) -> None:
        self._parser = parser
        self._parse_words = parse_words
        self._scanner = CommandScanner()
        self._parts: list[bytes] = []  # of the incomplete command, except for its long body
        self._body: list[bytes] = []  # pieces of the long body
        self._has_begun_body = False  # the head of a command with a long body was read, its end was not
        self.long_body_bytes = 0
        self.had_long_body = False
        self.is_discarding = False
        self.had_discarded_body = False

    def discard_body(self) -> None:
        """Frees the long body and keeps nothing of its rest; see `CommandReader`."""
        self._body.clear()
        self.is_discarding = True

    def incomplete_call(self) -> Call | None:
        """Returns the incomplete command's call without its long body; see `CommandReader`."""
        words = cast(list[bytes], self._parse_words([self._parts[0], b"\r\n"]))
        item = self._item(words)
        return item if isinstance(item, Call) else None

    @property
    def is_midway(self) -> bool:
        """Returns whether a command has begun and not ended."""
        return self._scanner.is_midway

    @property
    def buffered_bytes(self) -> int:
        """Returns how many bytes of the incomplete command are kept; see `CommandReader`."""
        return sum(map(len, self._parts)) + self.kept_body_bytes

    @property
    def kept_body_bytes(self) -> int:
        """Returns how many of them belong to its long body; see `CommandReader`."""
        return 0 if self.is_discarding else self.long_body_bytes

    def take_buffered(self) -> list[bytes]:
        """Returns the incomplete command in parts and forgets it; see `CommandReader`."""
        parts = self._parts
        self._parts = []
        if self._has_begun_body:
            head, *tail = parts
            body_bytes = self.long_body_bytes + self._scanner.remaining_bytes
            parts = [head.removesuffix(_EMPTY_BODY) + b"$%d\r\n" % body_bytes, *self._body, *tail]
            self._end_long_body()
        return parts

    def read(self, data: bytes, start: int) -> tuple[int, Item | None]:
        """Reads the command that begins, or continues, at `start`; see `CommandReader`."""
        scanner = self._scanner
        try:
            while (end := -1 if scanner.in_long_value else scanner.scan(data, start)) < 0:
                if not scanner.in_long_value:
                    _add_piece(self._parts, data[start:], is_first_kept=self._has_begun_body)
                    return -1, None
                if not self._has_begun_body:
                    start = self._begin_long_body(data, start)
                available = min(scanner.remaining_bytes, len(data) - start)
                if not self.is_discarding:
                    _add_piece(self._body, data[start : start + available])
                self.long_body_bytes = self.long_body_bytes + available
                start = start + available
                scanner.skip(available)
                if scanner.in_long_value:
                    return -1, None
            words = cast(list[bytes], self._parse_words([*self._parts, data[start:end]]))
            self._parts.clear()
            self.had_long_body = self._has_begun_body
            self.had_discarded_body = self.is_discarding
            body = tuple(self._body)
            if self.had_long_body:
                self._end_long_body()
        except (FrameError, hiredis.ProtocolError) as error:
            raise ProtocolError(str(error)) from None
        return end, self._item(words, body)

    def _end_long_body(self) -> None:
        self._has_begun_body = False
        self.is_discarding = False
        self.long_body_bytes = 0
        self._body.clear()

    def _begin_long_body(self, data: bytes, start: int) -> int:
        """Gives hiredis an empty word for the body; returns the offset of the body's first byte."""
        self._has_begun_body = True
        head = b"".join(self._parts) + data[start : self._scanner.long_value_start]
        self._parts = [head[: head.rindex(b"$")] + _EMPTY_BODY]
        return self._scanner.long_value_start

    def _item(self, words: list[bytes], long_body: tuple[bytes, ...] = ()) -> Item:
        name = words[0].upper()
        if name in (b"CALL.GET", b"CALL.POST"):
            try:
                return self._parser.parse(words, long_body)
            except InvalidCall as error:
                return b"-ERR %b\r\n" % _single_line(str(error))
        # The platform's load balancer adds a gateway once it answers PING.
        return PING if name == b"PING" and len(words) == 1 else b"-ERR unknown command\r\n"


class RespClientAdapter:
    """Implements the RESP2 protocol for all client connections of one gateway."""

    def __init__(self, settings: Settings, classes: Roster, plans: tuple[bytes, ...]) -> None:
        self._parser = CallParser(settings, classes, plans)
        self.configure = self._parser.configure
        self._messages = MessageParser()

    def command_reader(self) -> _RespCommandReader:
        """Returns the reading side of a new connection."""
        return _RespCommandReader(self._parser, self._messages.parse)

    def encode_value(self, call: Call, value: bytes) -> bytes:
        """Returns the answer with a request's value."""
        return b"$%d\r\n%b\r\n" % (len(value), value)

    def encode_value_head(self, call: Call, length: int) -> bytes:
        """Returns the bytes before a value of `length` bytes."""
        return b"$%d\r\n" % length

    def encode_value_tail(self, call: Call) -> bytes:
        """Returns the bytes after a value."""
        return b"\r\n"

    def encode_rejection(self, call: Call, retry_after_ms: int) -> bytes:
        """Returns the answer to a rejected request, with the time before a retry if that is not 0."""
        return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else b"-BUSY\r\n"

    def encode_failure(self, call: Call, reason: str) -> bytes:
        """Returns the answer to a failed request."""
        return self.encode_invalid_call(reason)

    def encode_invalid_call(self, reason: str) -> bytes:
        """Returns the answer to a request that cannot be accepted."""
        return b"-ERR %b\r\n" % _single_line(reason)

    def encode_protocol_error(self, reason: str) -> bytes:
        """Returns the last answer on a connection that cannot be read any further."""
        return b"-ERR Protocol error: %b\r\n" % _single_line(reason)

    def encode_pong(self, is_ready: bool) -> bytes:
        """Returns the answer to PING."""
        return b"+PONG\r\n" if is_ready else b"-LOADING no list of backends yet\r\n"
