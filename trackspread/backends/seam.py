"""What a protocol towards backends has to give: a dialect turns a `Call` to bytes and bytes to an outcome.

It knows nothing of connections, time-outs or decisions. Which outcome a broken connection means is the
pool's: never written whole, it could not connect; broken or spoilt after that, it may have run.
"""

from __future__ import annotations

from typing import Protocol

from ..call import Call
from ..decide.interface import Outcome

Report = dict[str, float]
Ending = tuple[Outcome, "bytes | None", Report]  # the value if it was served


class Spoilt(ValueError):
    """An answer that is none by the protocol: the request may have run, the connection is of no use."""


class Answers(Protocol):
    """The reading side of one connection."""

    @property
    def midway(self) -> bool:
        """Whether an answer has begun and not ended."""

    def read(self, data: bytes, probe: bool) -> tuple[int, Ending | None]:
        """What the answer means that `data` begins or goes on with, and where it ends; (-1, None) where it
        does not end there. Raises `Spoilt`."""


class Dialect(Protocol):
    """One protocol; the same object serves all connections."""

    def answers(self) -> Answers: ...

    def request(self, call: Call, left_ms: int) -> bytes:
        """The bytes of one attempt, which is waited for `left_ms`."""

    def probe(self) -> bytes: ...
