"""The vocabulary of handing configuration down: versions, entries, and what replicas and gateways say.

Times are integer nanoseconds on each process's own monotonic clock and never travel; only lengths do. Nothing
here decides anything.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..membership.identifiers import MS as MS
from ..membership.identifiers import SECOND as SECOND
from ..membership.identifiers import Address as Address
from ..membership.identifiers import Epoch as Epoch
from ..membership.actions import StatusEvent as StatusEvent

TICK = 50 * MS  # ns between two ticks of a core
NAME_MOST = 128  # characters of a service's name, and of a key's
VALUE_MOST = 640  # bytes of a value: an entry always fits one datagram
ENTRIES_MOST = 900  # bytes of entries in one datagram
ENTRY_OVERHEAD = 40  # bytes of one entry beside its names and its value, at most
SERVICES_MOST = 4096  # that one gateway may subscribe to
SUBSCRIPTION_PART = 900  # bytes of services' names in one datagram


class Version(NamedTuple):
    """Orders all changes: the greater is the newer. `history`: which log it is of, the round in which that
    was begun; `epoch`: of the leader that numbered it; `sequence`: its place in the log, from 1."""

    history: int
    epoch: Epoch
    sequence: int


NOTHING = Version(0, (0, -1), 0)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One change. `value` None deletes the key; an empty `service` changes nothing (a leader's first)."""

    version: Version
    service: str
    key: str
    value: bytes | None

    @property
    def size(self) -> int:
        """Bytes in a datagram, at most."""
        value = len(self.value) if self.value is not None else 0
        return ENTRY_OVERHEAD + len(self.service.encode()) + len(self.key.encode()) + value


class Cursor(NamedTuple):
    """The last entry of a snapshot's piece; pieces go by service and key."""

    service: str
    key: str


BEGINNING = Cursor("", "")


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What one datagram is about."""


# Between replicas.


class Prepare(Body, frozen=True):
    """A new leader asks what may be committed. `round` comes back with the answer. `begin`: an operator has
    a new history begun, empty replicas count as well."""

    epoch: Epoch
    round: int
    begin: bool


class Promise(Body, frozen=True):
    """Nothing of an older epoch is accepted from now on. `whole`: the sender has not forgotten anything
    that it ever accepted (it did not start anew, or has caught up since)."""

    epoch: Epoch
    round: int
    whole: bool
    committed: Version
    last: Version


class Stale(Body, frozen=True):
    """The sender has promised a newer epoch."""

    promised: Epoch


class Tail(Body, frozen=True):
    """The leader asks for what follows this version in a log that is longer than its own."""

    epoch: Epoch
    after: Version


class TailEntries(Body, frozen=True):
    """The answer: a part of it; `last`: of the whole log."""

    epoch: Epoch
    after: Version
    entries: tuple[Entry, ...]
    last: Version


class Append(Body, frozen=True):
    """The leader's log from `previous` on. Without entries it tells that the leader is there. `age`: ms since
    the leader heard a majority: another one may have committed something since."""

    epoch: Epoch
    previous: Version
    entries: tuple[Entry, ...]
    committed: Version
    last: Version
    age: int


class Accepted(Body, frozen=True):
    """The sender's log is the leader's up to `version`. `matched` False: it has not `previous`, and
    `version` is what it has committed. `whole`: as in `Promise`."""

    epoch: Epoch
    matched: bool
    whole: bool
    version: Version


class Behind(Body, frozen=True):
    """The leader's log does not reach back to what the receiver has, as far as is known here: `version`. It
    is to take a snapshot, or to say what it has."""

    epoch: Epoch
    version: Version


class Recover(Body, frozen=True):
    """A replica that started anew asks what the others have promised."""


class Standing(Body, frozen=True):
    """The answer, of whole replicas only. `born`: of the asker; `leads`: of the established leader alone,
    whose log ends with `last`."""

    born: int
    promised: Epoch
    leads: bool
    last: Version


# Between gateways and replicas.


class Subscribe(Body, frozen=True):
    """A part of the services that a gateway wants, by the digest of all of them."""

    subscription: int
    part: int
    parts: int
    services: tuple[str, ...]


class Poll(Body, frozen=True):
    """What is newer than `version`? `cursor`: the next pieces of a snapshot are asked for. `subscription`:
    a digest; 0 stands for all services."""

    number: int
    version: Version
    subscription: int
    cursor: Cursor | None = None


class Delta(Body, frozen=True):
    """The changes that follow the poll's version, complete up to `version`; `more`: others follow. `age`: ms
    since the replica had all that its leader had committed."""

    number: int
    version: Version
    age: int
    entries: tuple[Entry, ...]
    more: bool


class Piece(Body, frozen=True):
    """One of the `parts` pieces that answer one poll: what follows a cursor. `committed`: what the replica
    had committed; `end`: nothing follows the last of them."""

    number: int
    part: int
    parts: int
    committed: Version
    entries: tuple[Entry, ...]
    end: bool


class NeedSnapshot(Body, frozen=True):
    """The log does not reach back to the poll's version, or that is of another history."""

    number: int


class NeedSubscription(Body, frozen=True):
    """The replica does not know this subscription."""

    number: int


class Refused(Body, frozen=True):
    """Not now. `again`: ms after which this may be asked again; 0: another replica is to be asked, this one
    is behind, or may have forgotten what it had."""

    number: int
    again: int


# Between an operator's command and replicas.


class Put(Body, frozen=True):
    """A change is to be made. `number` comes back with the answer."""

    number: int
    service: str
    key: str
    value: bytes | None


class Done(Body, frozen=True):
    """It is committed under this version."""

    number: int
    version: Version


class Full(Body, frozen=True):
    """So many keys have a value already, and no more are taken."""

    number: int
    keys: int


class NotLeader(Body, frozen=True):
    """This replica can't take it. `leader`: its number where one is known, -1 where not."""

    number: int
    leader: int


class Begin(Body, frozen=True):
    """An operator's word: begin a new history with the best that is left. Nothing else ever does. Answered
    once a majority has it, or where a leader goes on in the present one."""

    number: int


class Show(Body, frozen=True):
    """What does this replica hold? With a key: its entry too."""

    number: int
    service: str
    key: str


class Shown(Body, frozen=True):
    """The answer. `role`: `leader`, `follower`, `establishing` or `recovering`."""

    number: int
    role: str
    promised: Epoch
    committed: Version
    last: Version
    keys: int
    entry: Entry | None


Bodies = (
    Prepare
    | Promise
    | Stale
    | Tail
    | TailEntries
    | Append
    | Accepted
    | Behind
    | Recover
    | Standing
    | Subscribe
    | Poll
    | Delta
    | Piece
    | NeedSnapshot
    | NeedSubscription
    | Refused
    | Put
    | Done
    | NotLeader
    | Begin
    | Show
    | Shown
    | Full
)


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One datagram. `replica`: the sender's number, -1 for a gateway or a command; `born`: which process
    of that number, wall clock at its start in ms."""

    fleet: str
    replica: int
    born: int
    body: Bodies


# What a core wants done, and what came to be.


class Send(NamedTuple):
    """Send this body."""

    to: Address
    body: Bodies


Action = Send | StatusEvent


class ReplicaSettings(NamedTuple):
    """One replica's. `replicas`: the addresses of all, the same in the same order everywhere; `number`: its
    own place among them; `born`: wall clock at its start, ms."""

    number: int
    born: int
    replicas: tuple[Address, ...]
    recent: int = 8192  # committed entries that are kept for deltas
    pending: int = 1024  # entries that wait to be committed, at most
    keys: int = 262_144  # that have a value, at most: four times the routes of the largest fleet
    pieces: int = 2000  # datagrams with entries that gateways are sent in a second

    @property
    def majority(self) -> int:
        return len(self.replicas) // 2 + 1


class SubscriberSettings(NamedTuple):
    """One gateway's. `replicas`: those of its region, if any; `others`: asked when none of these answers."""

    replicas: tuple[Address, ...]
    services: frozenset[str] | None  # None: all
    others: tuple[Address, ...] = ()
    period: int = SECOND  # ns between polls
    patience: int = 400 * MS  # ns for one answer
