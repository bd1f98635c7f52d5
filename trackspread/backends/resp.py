"""RESP2 towards backends: attempts and health checks to bytes, answers to outcomes.

May know: RESP's commands and framing. May not know: connections, time-outs, decisions.
"""

from __future__ import annotations

import re
from typing import cast

import hiredis

from ..call import Call
from ..decide.events import Outcome
from ..framing.resp import ANSWER_ITEMS, AnswerFrames, FrameError, Words
from .adapter import INCOMPLETE, Answer, InvalidAnswer, LoadReport, ReadResult, ValueReceiver

_EMPTY_VALUE = b"*%d\r\n$0\r\n" % ANSWER_ITEMS  # an answer's beginning, as hiredis gets it for a long value
_ERROR_LINES = (("ERR failed", Outcome.ERROR), ("BUSY", Outcome.REJECTED))
# What the protocol writes, not all that Python reads as a number: no sign and no infinity.
_NUMBER = re.compile(rb"[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][+-]?[0-9]{1,2})?")


def read_report(text: bytes) -> LoadReport:
    """The load report in `name=number` pairs; empty where the text is none."""
    report: LoadReport = {}
    for item in text.split(b","):
        name, _, number = item.partition(b"=")
        if not (name.isascii() and _NUMBER.fullmatch(number)):
            return {}
        report[name.decode()] = float(number)
    return report


def read_answer(reply: object) -> Answer:
    """What a complete reply means.

    Value and framing must be right; a report or figures that cannot be read invalidate nothing. Raises
    `InvalidAnswer`.
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
    """What `INFO load` was answered with: the report as a string, or an error line."""
    if isinstance(reply, bytes):
        return Answer(Outcome.OK, None, read_report(reply))
    return read_answer(reply)


class _RespAnswerReader:
    """One connection's answers; hiredis parses what `AnswerFrames` has found to be complete."""

    __slots__ = ("_frames", "_is_forwarding", "_parts", "_reader")

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._frames = AnswerFrames()
        self._parts: list[bytes] = []  # of the answer that has begun
        self._is_forwarding = False  # whether a long value is under way

    @property
    def is_midway(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self._frames.midway

    def read(self, data: bytes, is_health_check: bool, receiver: ValueReceiver) -> ReadResult:
        """Read the answer that `data` begins or continues; see `adapter.AnswerReader`."""
        try:
            start, end = self._scan(data, receiver)
            if end < 0:
                return INCOMPLETE
            reply = self._parse(data[start:end])
            return ReadResult(end, read_health_check(reply) if is_health_check else read_answer(reply))
        except (FrameError, hiredis.ProtocolError, ValueError) as error:
            raise InvalidAnswer(str(error)) from None

    def _scan(self, data: bytes, receiver: ValueReceiver) -> tuple[int, int]:
        """Where the part of `data` begins that is still to be parsed, and where the answer ends.

        The end is -1 where the answer goes on in later data.
        """
        frames = self._frames
        at = 0
        while True:
            if not frames.long:
                end = frames.scan(data, at)
                if end >= 0:
                    return at, end
                if not frames.long:
                    self._parts.append(data[at:])
                    return at, -1
            at = self._forward(data, at, receiver)
            if frames.long:
                return at, -1

    def _forward(self, data: bytes, at: int, receiver: ValueReceiver) -> int:
        """Give the long value's bytes to the receiver; where in `data` those end."""
        frames = self._frames
        if not self._is_forwarding:
            self._is_forwarding = True
            self._parts = [_EMPTY_VALUE]
            at = frames.long_at
            receiver.value_begins(frames.rest)
        if available := min(frames.rest, len(data) - at):
            receiver.value_piece(data[at : at + available])
            frames.take(available)
            at += available
        if not frames.long:
            self._is_forwarding = False
        return at

    def _parse(self, last_part: bytes) -> object:
        for part in self._parts:
            self._reader.feed(part)
        self._parts.clear()
        self._reader.feed(last_part)
        return self._reader.gets()


class RespAdapter:
    """RESP2, for all connections of one gateway."""

    def answer_reader(self) -> _RespAnswerReader:
        """The reading side of a new connection."""
        return _RespAnswerReader()

    def request(self, call: Call, time_left_ms: int) -> bytes | list[bytes]:
        """The client's own bytes, except for `d`, the time left; a long body is not copied."""
        words = cast(Words, call.raw_request)
        parameters = b"%bd=%d%b" % (words.head, time_left_ms, words.tail)
        if not call.body_bytes:
            return _pack((*words.front, parameters, *words.body))
        packed = _pack((*words.front, parameters, b""))
        return [packed.removesuffix(b"$0\r\n\r\n"), b"$%d\r\n" % call.body_bytes, *words.body, b"\r\n"]

    def health_check(self) -> bytes:
        """The bytes of a health check."""
        return _pack((b"INFO", b"load"))


def _pack(words: tuple[bytes, ...]) -> bytes:
    return cast(bytes, hiredis.pack_command(words))  # type: ignore[arg-type]
