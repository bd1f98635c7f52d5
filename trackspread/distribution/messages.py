"""Messages between replicas, gateways and operators' commands: the body of one datagram each.

Times never travel, only lengths do. A body is known on the wire by its tag and its values by their order; the
tags are those of earlier versions.
"""

from __future__ import annotations

import msgspec

from ..membership.identifiers import Epoch
from .versions import Cursor, Entry, Version


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The body of one datagram."""


class Prepare(Body, frozen=True):
    """A new leader queries what may be committed. `round` comes back with the answer. `begins_history`: an
    operator has a new history begun, empty replicas count as well."""

    epoch: Epoch
    round: int
    begins_history: bool


class Promise(Body, frozen=True):
    """Nothing of an older epoch is accepted from now on. `is_complete`: the sender has lost nothing that it
    ever accepted (it did not restart, or has caught up since)."""

    epoch: Epoch
    round: int
    is_complete: bool
    committed: Version
    last: Version


class StaleEpoch(Body, frozen=True, tag="Stale"):
    """The sender has promised a newer epoch."""

    promised: Epoch


class ReadTail(Body, frozen=True, tag="Tail"):
    """The leader requests what follows a version in a log that is longer than its own."""

    epoch: Epoch
    after: Version


class TailEntries(Body, frozen=True):
    """The answer to `ReadTail`: a part of it; `last`: of the complete log."""

    epoch: Epoch
    after: Version
    entries: tuple[Entry, ...]
    last: Version


class Append(Body, frozen=True):
    """The leader's log from `previous` on; without entries it is a heartbeat. `age_ms`: since the leader
    heard a majority: another one may have committed something since."""

    epoch: Epoch
    previous: Version
    entries: tuple[Entry, ...]
    committed: Version
    last: Version
    age_ms: int


class Accepted(Body, frozen=True):
    """The sender's log is the leader's up to `version`. `is_matched` False: it does not have `previous`, and
    `version` is what it has committed. `is_complete`: as in `Promise`."""

    epoch: Epoch
    is_matched: bool
    is_complete: bool
    version: Version


class LogCompacted(Body, frozen=True, tag="Behind"):
    """The leader's log does not reach back to `version`, which the receiver has as far as is known. It is to
    take a snapshot, or to say what it has."""

    epoch: Epoch
    version: Version


class Recover(Body, frozen=True):
    """A replica that restarted queries what the others have promised."""


class ReplicaState(Body, frozen=True, tag="Standing"):
    """The answer to `Recover`, of complete replicas only. `incarnation`: of the receiver; `is_leader`: of the
    established leader alone, whose log ends with `last`."""

    incarnation: int
    promised: Epoch
    is_leader: bool
    last: Version


class Subscribe(Body, frozen=True):
    """A part of the services that a gateway subscribes to, by the digest of all of them."""

    subscription: int
    part: int
    parts: int
    services: tuple[str, ...]


class Poll(Body, frozen=True):
    """Requests what is newer than `version`. `cursor`: requests the next pieces of a snapshot.
    `subscription`: a digest; 0 stands for all services."""

    number: int
    version: Version
    subscription: int
    cursor: Cursor | None = None


class Delta(Body, frozen=True):
    """The changes that follow the poll's version, complete up to `version`; `has_more`: others follow.
    `age_ms`: since the replica had all that its leader had committed."""

    number: int
    version: Version
    age_ms: int
    entries: tuple[Entry, ...]
    has_more: bool


class SnapshotPiece(Body, frozen=True, tag="Piece"):
    """One of the `parts` pieces that answer one poll: what follows a cursor. `committed`: what the replica
    had committed; `is_last`: nothing follows the last of them."""

    number: int
    part: int
    parts: int
    committed: Version
    entries: tuple[Entry, ...]
    is_last: bool


class NeedSnapshot(Body, frozen=True):
    """The log does not reach back to the poll's version, or that is of another history."""

    number: int


class NeedSubscription(Body, frozen=True):
    """The replica does not know the poll's subscription."""

    number: int


class Rejected(Body, frozen=True, tag="Refused"):
    """Rejected for now. `retry_after_ms`: until the same replica may be polled again; 0: another replica is
    to be polled, this one is behind, or may have lost what it had."""

    number: int
    retry_after_ms: int


class Put(Body, frozen=True):
    """An operator's change. `number` comes back with the answer."""

    number: int
    service: str
    key: str
    value: bytes | None


class Committed(Body, frozen=True, tag="Done"):
    """The change is committed under this version."""

    number: int
    version: Version


class TooManyKeys(Body, frozen=True, tag="Full"):
    """So many keys have a value already, and no more are accepted."""

    number: int
    keys: int


class NotLeader(Body, frozen=True):
    """This replica can't take a change. `leader`: its number where one is known, -1 where not."""

    number: int
    leader: int


class BeginHistory(Body, frozen=True, tag="Begin"):
    """An operator has a new history begun with the best log that is left; nothing else ever does. Answered
    once a majority has it, or where a leader goes on in the present one."""

    number: int


class Inspect(Body, frozen=True, tag="Show"):
    """Queries what this replica holds. With a key: its entry too."""

    number: int
    service: str
    key: str


class Inspected(Body, frozen=True, tag="Shown"):
    """The answer to `Inspect`. `role`: `leader`, `follower`, `establishing` or `recovering`."""

    number: int
    role: str
    promised: Epoch
    committed: Version
    last: Version
    keys: int
    entry: Entry | None


MessageBody = (
    Prepare
    | Promise
    | StaleEpoch
    | ReadTail
    | TailEntries
    | Append
    | Accepted
    | LogCompacted
    | Recover
    | ReplicaState
    | Subscribe
    | Poll
    | Delta
    | SnapshotPiece
    | NeedSnapshot
    | NeedSubscription
    | Rejected
    | Put
    | Committed
    | NotLeader
    | BeginHistory
    | Inspect
    | Inspected
    | TooManyKeys
)


class Message(msgspec.Struct, frozen=True, array_like=True):
    """One datagram. `replica`: the sender's number, -1 for a gateway or a command; `incarnation`: which
    process of that number, wall clock at its start in ms."""

    fleet: str
    replica: int
    incarnation: int
    body: MessageBody
