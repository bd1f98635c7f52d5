"""Defines the interface of a backend protocol: an adapter turns a `Call` to bytes, an answer to an outcome.

An adapter knows nothing of connections, timeouts or decisions. The outcome of a broken connection is decided
by the connection: a request that was never written completely counts as `CONNECT_FAILED`; one that was may
have been executed.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ..call import Call
from ..decide.events import Outcome

LoadReport = dict[str, float]


class InvalidAnswer(ValueError):
    """Reports an answer that breaks the protocol: the request may have run, the connection is unusable."""


class Answer(NamedTuple):
    """Holds the meaning of a complete answer; `value` is None unless the request was served."""

    outcome: Outcome
    value: bytes | None
    load_report: LoadReport


class ReadResult(NamedTuple):
    """Holds the result of reading a chunk of bytes.

    `end` is the offset in the chunk at which the answer ends. If it does not end in this chunk, `answer` is
    None and `end` is -1.
    """

    end: int
    answer: Answer | None


INCOMPLETE = ReadResult(-1, None)


class ValueReceiver(Protocol):
    """Receives a long value while it arrives."""

    def value_begins(self, length: int) -> None:
        """Handles the beginning of a value of `length` bytes."""

    def value_piece(self, data: bytes) -> None:
        """Handles the next bytes of the value."""


class AnswerReader(Protocol):
    """Reads the answers of one connection."""

    @property
    def is_midway(self) -> bool:
        """Returns whether an answer has begun and not ended."""

    @property
    def buffered_bytes(self) -> int:
        """Returns the size of what is kept of the incomplete answer."""

    def read(self, data: bytes, is_health_check: bool, receiver: ValueReceiver) -> ReadResult:
        """Reads the answer that `data` begins or continues; raises `InvalidAnswer`.

        A long value goes to `receiver` and is empty in the answer.
        """


class Adapter(Protocol):
    """Encodes and reads one protocol; the same object serves all connections."""

    def answer_reader(self) -> AnswerReader:
        """Returns the reading side of a new connection."""

    def request(self, call: Call, time_left_ms: int) -> bytes | list[bytes]:
        """Returns the bytes of one attempt with its timeout in ms; a long one as several parts."""

    def health_check(self) -> bytes:
        """Returns the bytes of a health check."""
