"""The interface of a protocol towards backends: an adapter turns a `Call` to bytes and bytes to an outcome.

An adapter knows nothing of connections, time-outs or decisions. Which outcome a broken connection means is
the connection's to say: a request that was never written completely counts as `CONNECT_FAILED`; one that was
may have been executed.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from ..call import Call
from ..decide.events import Outcome

LoadReport = dict[str, float]


class InvalidAnswer(ValueError):
    """An answer that breaks the protocol: the request may have run, the connection is of no further use."""


class Answer(NamedTuple):
    """What a complete answer means. `value` is None unless the request was served."""

    outcome: Outcome
    value: bytes | None
    load_report: LoadReport


class ReadResult(NamedTuple):
    """What reading a chunk of bytes gave.

    `end` is the offset in the chunk at which the answer ends. `answer` is None, and `end` -1, where it does
    not end in this chunk.
    """

    end: int
    answer: Answer | None


INCOMPLETE = ReadResult(-1, None)


class ValueReceiver(Protocol):
    """Where a long value goes while it arrives."""

    def value_begins(self, length: int) -> None:
        """A value of `length` bytes has begun."""

    def value_piece(self, data: bytes) -> None:
        """The next bytes of the value."""


class AnswerReader(Protocol):
    """The reading side of one connection."""

    @property
    def is_midway(self) -> bool:
        """Whether an answer has begun and not ended."""

    def read(self, data: bytes, is_health_check: bool, receiver: ValueReceiver) -> ReadResult:
        """Read the answer that `data` begins or continues.

        A long value goes to `receiver` and is empty in the answer. Raises `InvalidAnswer`.
        """


class Adapter(Protocol):
    """One protocol; the same object serves all connections."""

    def answer_reader(self) -> AnswerReader:
        """The reading side of a new connection."""

    def request(self, call: Call, time_left_ms: int) -> bytes | list[bytes]:
        """The bytes of one attempt that is waited for so long; several parts where it is long."""

    def health_check(self) -> bytes:
        """The bytes of a health check."""
