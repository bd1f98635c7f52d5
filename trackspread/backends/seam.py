"""What a protocol towards backends has to give: a dialect turns a `Call` to bytes and bytes to an outcome.

It knows nothing of connections, time-outs or decisions. Which outcome a broken connection means is the
pool's: never written whole, it could not connect; broken or spoilt after that, it may have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..call import Call
from ..call import PausableSource
from ..decide.events import Outcome

if TYPE_CHECKING:
    from .pools import Attempt

Report = dict[str, float]
Ending = tuple[Outcome, "bytes | None", Report]  # the value if it was served


class Spoilt(ValueError):
    """An answer that is none by the protocol: the request may have run, the connection is of no use."""


class Sink(Protocol):
    """Where a long value goes while it comes."""

    def begins(self, length: int) -> None: ...

    def piece(self, data: bytes) -> None: ...


class Hearer(Protocol):
    """Who is told of attempts, probes among them."""

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: Report) -> None:
        """Once for each; a value that was passed on as it came is empty."""

    def wanted(self, attempt: Attempt) -> bool:
        """Whether anybody still waits for the attempt, asked once its connection has come up."""

    def attempt_written(self) -> None:
        """Once for each request whose last byte has gone out."""

    def value_begins(self, attempt: Attempt, length: int, source: PausableSource) -> bool:
        """A long value has begun; whether anybody wants it."""

    def value_piece(self, attempt: Attempt, data: bytes) -> None: ...


class Answers(Protocol):
    """The reading side of one connection."""

    @property
    def midway(self) -> bool:
        """Whether an answer has begun and not ended."""

    def read(self, data: bytes, probe: bool, sink: Sink) -> tuple[int, Ending | None]:
        """What the answer means that `data` begins or goes on with, and where it ends; (-1, None) where it
        does not end there. A long value goes to `sink`, and stands empty in the ending. Raises `Spoilt`."""


class Dialect(Protocol):
    """One protocol; the same object serves all connections."""

    def answers(self) -> Answers: ...

    def request(self, call: Call, left_ms: int) -> bytes | list[bytes]:
        """The bytes of one attempt, which is waited for `left_ms`; in parts where it is long."""

    def probe(self) -> bytes: ...
