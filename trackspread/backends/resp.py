"""RESP2 towards backends: attempts and probes to bytes, answers to outcomes.

May know: words and framing. May not know: connections, time-outs, decisions.
"""

from __future__ import annotations

import re
from typing import cast

import hiredis

from ..call import Call
from ..decide.events import Outcome
from ..framing.resp import ANSWER_ITEMS, AnswerFrames, FrameError, Words
from .seam import Ending, Report, Sink, Spoilt

# What the protocol writes, not all that Python reads as a number: no sign and no infinity.
_NUMBER = re.compile(rb"[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][+-]?[0-9]{1,2})?")


def read_report(text: bytes) -> Report:
    """`name=number` pairs; what is no such text is no report."""
    report: Report = {}
    for item in text.split(b","):
        name, _, number = item.partition(b"=")
        if not (name.isascii() and _NUMBER.fullmatch(number)):
            return {}
        report[name.decode()] = float(number)
    return report


def read_answer(answer: object) -> Ending:
    """What a whole answer means: outcome, the value if it was served, the load report.

    Value and framing must be right; a report or figures that can't be read spoil nothing."""
    if isinstance(answer, list) and isinstance(answer[0], bytes):
        told = answer[2]
        return Outcome.OK, answer[0], read_report(told) if isinstance(told, bytes) else {}
    if isinstance(answer, hiredis.ReplyError):
        line = str(answer)
        for words, outcome in (("ERR failed", Outcome.ERROR), ("BUSY", Outcome.REJECTED)):
            if line == words:
                return outcome, None, {}
            if line.startswith(words + " "):
                return outcome, None, read_report(line[len(words) + 1 :].encode())
    raise Spoilt(f"{answer!r:.80}")


def read_probe(answer: object) -> Ending:
    """What `INFO load` brought: the report as a string, or an error line."""
    return (Outcome.OK, None, read_report(answer)) if isinstance(answer, bytes) else read_answer(answer)


EMPTIED = b"*%d\r\n$0\r\n" % ANSWER_ITEMS  # an answer's beginning, as the reader is told of a long value


class _Answers:
    """One connection's answers; hiredis reads what `AnswerFrames` has found to be whole."""

    __slots__ = ("_frames", "_parts", "_passing", "_reader")

    def __init__(self) -> None:
        self._reader, self._frames = hiredis.Reader(), AnswerFrames()
        self._parts: list[bytes] = []  # of the answer that has begun
        self._passing = False  # whether a long value is under way

    @property
    def midway(self) -> bool:
        return self._frames.midway

    def read(self, data: bytes, probe: bool, sink: Sink) -> tuple[int, Ending | None]:
        frames, at = self._frames, 0
        try:
            while (end := -1 if frames.long else frames.scan(data, at)) < 0:
                if not frames.long:
                    self._parts.append(data[at:])
                    return -1, None
                if not self._passing:
                    self._passing, self._parts, at = True, [EMPTIED], frames.long_at
                    sink.begins(frames.rest)
                if taken := min(frames.rest, len(data) - at):
                    sink.piece(data[at : at + taken])
                    frames.take(taken)
                    at += taken
                if frames.long:
                    return -1, None
                self._passing = False
            for part in self._parts:
                self._reader.feed(part)
            self._parts.clear()
            self._reader.feed(data[at:end])
            answer = self._reader.gets()
            return end, read_probe(answer) if probe else read_answer(answer)
        except (FrameError, hiredis.ProtocolError, ValueError) as error:
            raise Spoilt(str(error)) from None


class RespDialect:
    """RESP2, for all connections of one gateway."""

    def answers(self) -> _Answers:
        return _Answers()

    def request(self, call: Call, left_ms: int) -> bytes | list[bytes]:
        """The client's own bytes, but for `d`; a long body is not copied."""
        form = cast(Words, call.raw_request)
        if call.body_bytes:
            words = (*form.front, b"%bd=%d%b" % (form.head, left_ms, form.tail), b"")
            packed = cast(bytes, hiredis.pack_command(words))  # type: ignore[arg-type]
            return [packed.removesuffix(b"$0\r\n\r\n"), b"$%d\r\n" % call.body_bytes, *form.body, b"\r\n"]
        words = (*form.front, b"%bd=%d%b" % (form.head, left_ms, form.tail), *form.body)
        return cast(bytes, hiredis.pack_command(words))  # type: ignore[arg-type]

    def probe(self) -> bytes:
        return cast(bytes, hiredis.pack_command((b"INFO", b"load")))  # type: ignore[arg-type]
