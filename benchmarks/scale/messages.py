"""Defines the messages between the run and a hollow process: one JSON object per line, with its type."""

from __future__ import annotations

import msgspec

from .lag import Lag
from .placement import Placement

MemberId = tuple[str, int]  # A member's name, and its incarnation.


class Message(msgspec.Struct, frozen=True, tag=True):
    """Is the base of all messages; each is one line."""


class Setup(Message, frozen=True):
    """Is the first line: it assigns the process its index in the placement and the settings of the fleet."""

    process: int
    placement: Placement
    fleet: str
    seeds: tuple[int, ...]  # Numbers of the members that are seeds.
    most: int  # Largest number of members.


class Begin(Message, frozen=True):
    """Starts these members, the last of them `spread` seconds after the first."""

    numbers: tuple[int, ...]
    spread: float


class Crash(Message, frozen=True):
    """Ends these members at once, without a message to others."""

    numbers: tuple[int, ...]


class Cut(Message, frozen=True):
    """Cuts these regions off from all others; an empty tuple ends the partition."""

    regions: tuple[int, ...]


class Settle(Message, frozen=True):
    """Spreads infrequent tasks over their interval, as if the members had started at different times."""


class Look(Message, frozen=True):
    """Asks for the state that the members hold."""


class Measure(Message, frozen=True):
    """Asks for the resources used and the bytes sent so far."""


class End(Message, frozen=True):
    """Closes all members and ends the process."""


Command = Setup | Begin | Crash | Cut | Settle | Look | Measure | End


class Done(Message, frozen=True):
    """Confirms that the command was executed at `at` ns of the machine's monotonic clock."""

    at: int


class Held(Message, frozen=True):
    """Reports the state that the members of one process hold."""

    # Distinct combinations of the digest of live members, the digest of the view's members and its number.
    distinct: tuple[tuple[int, int, tuple[int, int, int]], ...]
    running: tuple[MemberId, ...]
    telling: int  # Updates that all members together still have to gossip.
    without_part: int = 0  # Members without slots; they ask for slots more often.


class Life(msgspec.Struct, frozen=True):
    """Records from when until when one incarnation of a member ran, in ns; `until` is 0 while it runs."""

    who: MemberId
    since: int
    until: int = 0


class DeadVerdict(msgspec.Struct, frozen=True):
    """Records that a member came to hold another for dead, by its own probes (`own`) or by gossip.

    `suspected` is the time in ns since which it had suspected the other.
    """

    at: int  # Nanoseconds.
    by: str
    of: MemberId
    own: bool
    suspected: int


class Traffic(msgspec.Struct, frozen=True):
    """Holds the payload bytes through one member's sockets so far, of datagrams and tables together."""

    name: str
    sent: int
    received: int


class Measured(Message, frozen=True):
    """Reports one process since its start; peaks, lag and verdicts are those since the last report."""

    at: int  # Nanoseconds.
    cpu: float  # Seconds.
    memory: int  # Resident bytes.
    members: int
    datagrams: int  # Sent.
    sent: int  # Bytes of datagrams and tables, of all members that ever ran in this process.
    received: int
    leading: tuple[Traffic, ...]  # Of the current coordinators.
    peak_name: str  # The member with the most bytes within one second.
    peak: int  # Bytes in that second: the greater of sent and received.
    lag: Lag
    lives: tuple[Life, ...]
    verdicts: tuple[DeadVerdict, ...]


Reply = Done | Held | Measured
