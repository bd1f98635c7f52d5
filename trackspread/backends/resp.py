"""Implements the RESP2 protocol that backends speak: encodes attempts and health checks, reads answers.

It knows RESP's commands and framing. It knows no connections, timeouts or decisions.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from typing import cast

import hiredis

from ..call import Call
from ..decide.events import Outcome
from ..framing.message_parser import MessageParser
from ..framing.resp import ANSWER_ITEMS, AnswerScanner, CommandWords, FrameError
from .adapter import INCOMPLETE, Answer, InvalidAnswer, LoadReport, ReadResult, ValueReceiver

_EMPTY_VALUE = b"*%d\r\n$0\r\n" % ANSWER_ITEMS  # the beginning of an answer, fed to hiredis for a long value
_ERROR_LINES = (("ERR failed", Outcome.ERROR), ("BUSY", Outcome.REJECTED))
# The numbers that the protocol allows, without a sign and infinity; Python's `float` accepts more.
_NUMBER = re.compile(rb"[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][+-]?[0-9]{1,2})?")


def read_report(text: bytes) -> LoadReport:
    """Returns the load report of `name=number` pairs; it is empty if one of them is invalid."""
    report: LoadReport = {}
    for item in text.split(b","):
        name, _, number = item.partition(b"=")
        if not (name.isascii() and _NUMBER.fullmatch(number)):
            return {}
        report[name.decode()] = float(number)
    return report


def read_answer(reply: object) -> Answer:
    """Returns the meaning of a complete reply; raises `InvalidAnswer`.

    Value and framing must be valid; a load report or usage figures that cannot be read are ignored.
    """
    if isinstance(reply, list) and isinstance(reply[0], bytes):
        report = reply[2]
        return Answer(Outcome.OK, reply[0], read_report(report) if isinstance(report, bytes) else {})
    if isinstance(reply, hiredis.ReplyError):
        line = str(reply)
        for prefix, outcome in _ERROR_LINES:
            if line == prefix:
                return Answer(outcome, None, {})
            if line.startswith(prefix + " "):
                return Answer(outcome, None, read_report(line[len(prefix) + 1 :].encode()))
    raise InvalidAnswer(f"{reply!r:.80}")


def read_health_check(reply: object) -> Answer:
    """Returns the meaning of the reply to `INFO load`, which is a load report or an error line."""
    if isinstance(reply, bytes):
        return Answer(Outcome.OK, None, read_report(reply))
    return read_answer(reply)


class _RespAnswerReader:
    """Reads one connection's answers; hiredis parses those that `AnswerScanner` found complete."""

    __slots__ = ("_is_forwarding", "_parse_message", "_parts", "_scanner")

    def __init__(self, parse_message: Callable[[Sequence[bytes]], object]) -> None:
        self._parse_message = parse_message
        self._scanner = AnswerScanner()
        self._parts: list[bytes] = []  # of the incomplete answer
        self._is_forwarding = False  # whether a long value is being forwarded

    @property
    def is_midway(self) -> bool:
        """Returns whether an answer has begun and not ended."""
        return self._scanner.is_midway

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of what is kept of the incomplete answer; see `adapter.AnswerReader`."""
        return sum(map(len, self._parts))

    def read(self, data: bytes, is_health_check: bool, receiver: ValueReceiver) -> ReadResult:
        """Reads the answer that `data` begins or continues; see `adapter.AnswerReader`."""
        try:
            start, end = self._scan(data, receiver)
            if end < 0:
                return INCOMPLETE
            reply = self._parse(data[start:end])
            return ReadResult(end, read_health_check(reply) if is_health_check else read_answer(reply))
        except (FrameError, hiredis.ProtocolError, ValueError) as error:
            raise InvalidAnswer(str(error)) from None

    def _scan(self, data: bytes, receiver: ValueReceiver) -> tuple[int, int]:
        """Returns the offsets of the part of `data` that is still to be parsed.

        The end is -1 if the answer continues in later data.
        """
        scanner = self._scanner
        at = 0
        while True:
            if not scanner.in_long_value:
                end = scanner.scan(data, at)
                if end >= 0:
                    return at, end
                if not scanner.in_long_value:
                    self._parts.append(data[at:])
                    return at, -1
            at = self._forward(data, at, receiver)
            if scanner.in_long_value:
                return at, -1

    def _forward(self, data: bytes, at: int, receiver: ValueReceiver) -> int:
        """Gives a long value's bytes to the receiver; returns the offset in `data` at which they end."""
        scanner = self._scanner
        if not self._is_forwarding:
            self._is_forwarding = True
            self._parts = [_EMPTY_VALUE]
            at = scanner.long_value_start
            receiver.value_begins(scanner.remaining_bytes)
        if available := min(scanner.remaining_bytes, len(data) - at):
            receiver.value_piece(data[at : at + available])
            scanner.skip(available)
            at += available
        if not scanner.in_long_value:
            self._is_forwarding = False
        return at

    def _parse(self, last_part: bytes) -> object:
        parts = [*self._parts, last_part]
        self._parts.clear()
        return self._parse_message(parts)


class RespAdapter:
    """Implements the RESP2 protocol for all backend connections of one gateway."""

    def __init__(self) -> None:
        self._messages = MessageParser()

    def answer_reader(self) -> _RespAnswerReader:
        """Returns the reading side of a new connection."""
        return _RespAnswerReader(self._messages.parse)

    def request(self, call: Call, time_left_ms: int) -> bytes | list[bytes]:
        """Returns the client's own bytes with the time left as `d`; a long body is not copied."""
        words = cast(CommandWords, call.raw_request)
        parameters = b"%bd=%d%b" % (words.head, time_left_ms, words.tail)
        if not call.body_bytes:
            return _pack((*words.prefix, parameters, *words.body))
        packed = _pack((*words.prefix, parameters, b""))
        return [packed.removesuffix(b"$0\r\n\r\n"), b"$%d\r\n" % call.body_bytes, *words.body, b"\r\n"]

    def health_check(self) -> bytes:
        """Returns the bytes of a health check."""
        return _pack((b"INFO", b"load"))


def _pack(words: tuple[bytes, ...]) -> bytes:
    return cast(bytes, hiredis.pack_command(words))  # type: ignore[arg-type]
