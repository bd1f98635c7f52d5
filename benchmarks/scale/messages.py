"""What the run and a hollow process say to each other: one JSON object a line, each with its type."""

from __future__ import annotations

import msgspec

from .lag import Lag
from .placement import Placement

Who = tuple[str, int]  # a member's name, and which process of that name


class Message(msgspec.Struct, frozen=True, tag=True):
    """One line."""


class Setup(Message, frozen=True):
    """The first line: which of the placement's processes this is, and the fleet's own settings."""

    process: int
    placement: Placement
    fleet: str
    seeds: tuple[int, ...]  # numbers of the members that are seeds
    most: int  # members at most


class Begin(Message, frozen=True):
    """Start these members, `spread` s between the first and the last."""

    numbers: tuple[int, ...]
    spread: float


class Crash(Message, frozen=True):
    """End these members without a word."""

    numbers: tuple[int, ...]


class Cut(Message, frozen=True):
    """Cut these regions off from all others; none: whole again."""

    regions: tuple[int, ...]


class Settle(Message, frozen=True):
    """Spread what members do seldom over its interval, as where they started at different times."""


class Look(Message, frozen=True):
    """Tell what the members hold."""


class Measure(Message, frozen=True):
    """Tell what has been used and sent so far."""


class End(Message, frozen=True):
    """Close everything."""


Command = Setup | Begin | Crash | Cut | Settle | Look | Measure | End


class Done(Message, frozen=True):
    """The command was carried out at this instant of the machine's monotonic clock, in ns."""

    at: int


class Held(Message, frozen=True):
    """What the members of one process hold."""

    # Each distinct digest of those live, digest of the view's members, and the view's number.
    distinct: tuple[tuple[int, int, tuple[int, int, int]], ...]
    running: tuple[Who, ...]
    telling: int  # words that are still to be told, over all members
    without_part: int = 0  # members that hold no part of what all share: they ask more often for one


class Life(msgspec.Struct, frozen=True):
    """One process of a member, from when on it ran and until when, in ns; 0: it still runs."""

    who: Who
    since: int
    until: int = 0


class DeadVerdict(msgspec.Struct, frozen=True):
    """A member came to hold another for dead; `own`: by its own probes, not by what others told; `suspected`:
    since when it had held it for suspect, in ns."""

    at: int  # ns
    by: str
    of: Who
    own: bool
    suspected: int


class Traffic(msgspec.Struct, frozen=True):
    """Bytes of payload through one member's sockets so far, datagrams and tables together."""

    name: str
    sent: int
    received: int


class Measured(Message, frozen=True):
    """Of one process since its start; peaks, lag and verdicts since the last time it was asked."""

    at: int  # ns
    cpu: float  # s
    memory: int  # bytes resident
    members: int
    datagrams: int  # sent
    sent: int  # bytes, datagrams and tables, of all members that ever ran here
    received: int
    leading: tuple[Traffic, ...]  # of those that coordinate now
    peak_name: str  # whose sent and received were the most within one second
    peak: int  # bytes in that second, the greater of sent and received
    lag: Lag
    lives: tuple[Life, ...]
    verdicts: tuple[DeadVerdict, ...]


Reply = Done | Held | Measured
