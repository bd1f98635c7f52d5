"""Defines the messages between replicas, gateways and operators' commands; each is the body of one datagram.

Messages carry durations and never times, as clocks differ between machines. On the wire a body is identified
by its tag and its values by their order; the tags are those of earlier versions.
"""

from __future__ import annotations

import msgspec

from ..membership.identifiers import Epoch
from .versions import Cursor, Entry, Version


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Is the base of all bodies of datagrams."""


class Prepare(Body, frozen=True):
    """Requests a promise for a new leader, which learns what may be committed.

    `round` is returned with the answer. `begins_history` means that an operator requested a new history, for
    which empty replicas count as well.
    """

    epoch: Epoch
    round: int
    begins_history: bool


class Promise(Body, frozen=True):
    """Promises that the sender accepts nothing of an older epoch from now on.

    `is_complete` means that the sender has lost nothing that it ever accepted: it did not restart, or has
    caught up since.
    """

    epoch: Epoch
    round: int
    is_complete: bool
    committed: Version
    last: Version


class StaleEpoch(Body, frozen=True, tag="Stale"):
    """Answers a leader that the sender has promised a newer epoch."""

    promised: Epoch


class ReadTail(Body, frozen=True, tag="Tail"):
    """Requests the entries that follow a version in a log that is longer than the leader's own."""

    epoch: Epoch
    after: Version


class TailEntries(Body, frozen=True):
    """Answers `ReadTail` with a part of the entries; `last` is the last version of the complete log."""

    epoch: Epoch
    after: Version
    entries: tuple[Entry, ...]
    last: Version


class Append(Body, frozen=True):
    """Carries the leader's log from `previous` on; without entries it is a heartbeat.

    `age_ms` is the time since the leader was in touch with a majority: another leader may have committed
    something since.
    """

    epoch: Epoch
    previous: Version
    entries: tuple[Entry, ...]
    committed: Version
    last: Version
    age_ms: int


class Accepted(Body, frozen=True):
    """Answers `Append`: the sender's log equals the leader's up to `version`.

    If `is_matched` is False, the sender does not have `previous`, and `version` is its newest committed one.
    `is_complete` is as in `Promise`.
    """

    epoch: Epoch
    is_matched: bool
    is_complete: bool
    version: Version


class LogCompacted(Body, frozen=True, tag="Behind"):
    """Reports that the leader's log does not reach back to `version`.

    That is the newest version that the receiver is known to have. The receiver has to take a
    snapshot, or to answer with the version that it has.
    """

    epoch: Epoch
    version: Version


class Recover(Body, frozen=True):
    """Requests the state of the other replicas for a replica that restarted."""


class ReplicaState(Body, frozen=True, tag="Standing"):
    """Answers `Recover`; only complete replicas send it.

    `incarnation` is the receiver's. `is_leader` is set by the established leader alone, whose log ends with
    `last`.
    """

    incarnation: int
    promised: Epoch
    is_leader: bool
    last: Version


class Subscribe(Body, frozen=True):
    """Carries a part of the services that a gateway subscribes to, with the digest of all of them."""

    subscription: int
    part: int
    parts: int
    services: tuple[str, ...]


class Poll(Body, frozen=True):
    """Asks a replica for configuration changes newer than `version`, or for snapshot pieces after `cursor`.

    `subscription` is the digest of the services whose configuration is wanted; 0 stands for all services.
    """

    number: int
    version: Version
    subscription: int
    cursor: Cursor | None = None


class Delta(Body, frozen=True):
    """Carries the changes that follow the poll's version, complete up to `version`.

    `has_more` means that others follow. `age_ms` is the time since the replica had all that its leader had
    committed.
    """

    number: int
    version: Version
    age_ms: int
    entries: tuple[Entry, ...]
    has_more: bool


class SnapshotPiece(Body, frozen=True, tag="Piece"):
    """Carries one of the `parts` pieces of a snapshot that answer one poll with the entries after its cursor.

    `committed` is the newest version that the replica had committed. `is_last` means that no entries follow
    the last of these pieces.
    """

    number: int
    part: int
    parts: int
    committed: Version
    entries: tuple[Entry, ...]
    is_last: bool


class NeedSnapshot(Body, frozen=True):
    """Reports that the log does not reach back to the poll's version, or that it is of another history."""

    number: int


class NeedSubscription(Body, frozen=True):
    """Reports that the replica does not know the poll's subscription."""

    number: int


class Rejected(Body, frozen=True, tag="Refused"):
    """Rejects a poll or a command for now.

    `retry_after_ms` is the time until the same replica may be called again. 0 means that another replica has
    to be polled, as this one is behind, or may have lost what it had.
    """

    number: int
    retry_after_ms: int


class Put(Body, frozen=True):
    """Carries an operator's change; `number` is returned with the answer."""

    number: int
    service: str
    key: str
    value: bytes | None


class Committed(Body, frozen=True, tag="Done"):
    """Reports that the change is committed under this version."""

    number: int
    version: Version


class TooManyKeys(Body, frozen=True, tag="Full"):
    """Reports that `keys` keys have a value already, and that no more are accepted."""

    number: int
    keys: int


class NotLeader(Body, frozen=True):
    """Reports that this replica does not lead; `leader` is the number of the leader, -1 if none is known."""

    number: int
    leader: int


class BeginHistory(Body, frozen=True, tag="Begin"):
    """Requests that a new history begins with the longest log that is left; only an operator sends it.

    It is answered once a majority has the new history, or if a leader still commits in the present one.
    """

    number: int


class Inspect(Body, frozen=True, tag="Show"):
    """Requests the state of this replica, and with a key that key's entry too."""

    number: int
    service: str
    key: str


class Inspected(Body, frozen=True, tag="Shown"):
    """Answers `Inspect`; `role` is `leader`, `follower`, `establishing` or `recovering`."""

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
    """Holds one datagram's values.

    `replica` is the sender's number, -1 for a gateway or a command. `incarnation` identifies the process of
    that number by the wall clock at its start, in milliseconds.
    """

    fleet: str
    replica: int
    incarnation: int
    body: MessageBody
