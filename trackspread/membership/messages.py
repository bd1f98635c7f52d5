"""Defines the messages between members.

The structs are encoded as arrays: the order of their fields is the wire format, and the tag of a body
identifies its kind. Where a class has been renamed, its tag keeps the former name.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from .identifiers import Address, Epoch, ListPosition, MemberId, ViewNumber


class State(IntEnum):
    """Defines the states of a member.

    Of two updates about one process, the one with the greater (incarnation, state) takes precedence. Only the
    member itself starts a new incarnation, which declares that it is alive.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # the member has crashed or stopped, or no member can reach it
    LEFT = 3  # the member has shut down gracefully; only another process can return under its name


class GossipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Carries one update about one member.

    The update with the greater rank takes precedence, in whatever order updates arrive.
    """

    name: str
    created_at_ms: int
    incarnation: int
    state: int
    host: str
    port: int
    version: str = ""
    slow: bool = False  # declared by the member itself once many observe it; others then do not wait for it

    @property
    def member_id(self) -> MemberId:
        """Returns the process that this update is about."""
        return self.name, self.created_at_ms

    @property
    def rank(self) -> tuple[int, int, int]:
        """Returns the precedence among updates about one name."""
        return self.created_at_ms, self.incarnation, self.state

    @property
    def address(self) -> Address:
        """Returns the address at which the member is reached."""
        return self.host, self.port


class View(msgspec.Struct, frozen=True, array_like=True):
    """Holds the agreed members of the fleet; each number identifies exactly one view.

    `parent` is the number of the view that this one follows.
    """

    number: ViewNumber
    parent: ViewNumber
    members: tuple[MemberId, ...]  # sorted


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Provides the base class of all message bodies; a datagram carries one body."""


class Ping(Body, frozen=True):
    """Probes a member; a message to a suspected member carries the suspicion too."""

    sequence: int
    target: MemberId


class Ack(Body, frozen=True):
    """Answers a ping; `first_epoch` is that of the coordinator that first granted slots to the sender."""

    sequence: int
    first_epoch: Epoch | None = None


class Nack(Body, frozen=True):
    """Reports that a helper has received no ack in time, which shows that the helper itself is reachable."""

    sequence: int


class PingRequest(Body, frozen=True, tag="Help"):
    """Asks the receiver to ping the target for the sender."""

    sequence: int
    target: MemberId
    host: str
    port: int


class Vote(Body, frozen=True):
    """Carries a message of the seeds' election of a coordinator; the ballot is (`round`, `ballot_seed`)."""

    seed: int  # index of the sender
    kind: str
    round: int
    ballot_seed: int
    owner: int


class LeaseRequest(Body, frozen=True, tag="Renew"):
    """Asks the coordinator to grant slots or to renew the sender's lease.

    `sent_at_ns` is on the sender's clock and is returned in the grant. `slots` are the granted slots that
    have not expired; `serial` is the number of their grant in this epoch, and 0 for a grant of an earlier
    epoch. `first_epoch` says that no coordinator of another epoch has granted slots to the sender.
    """

    sent_at_ns: int
    epoch: Epoch
    serial: int
    slots: bytes
    view_number: ViewNumber
    position: ListPosition
    first_epoch: bool = False


class LeaseGrant(Body, frozen=True, tag="Grant"):
    """Grants slots for `duration_ns` counted from `sent_at_ns`, and names the coordinator's newest view."""

    sent_at_ns: int
    epoch: Epoch
    serial: int
    slots: bytes
    view_number: ViewNumber
    duration_ns: int


class LeaseRelease(Body, frozen=True, tag="Release"):
    """Releases the slots of a process that stops or is fenced; another may run under its name."""

    epoch: Epoch


class ViewAnnouncement(Body, frozen=True, tag="Fresh"):
    """Announces the elected coordinator or its new view.

    `view` is None where it does not fit into the datagram.
    """

    view_number: ViewNumber
    view: View | None


class SlownessReport(Body, frozen=True, tag="Report"):
    """Reports that the sender observes this member as slow, or as no longer slow."""

    member_id: MemberId
    slow: bool


class ForgetRequest(Body, frozen=True, tag="Forget"):
    """Carries an operator's declaration that the member of this name is permanently gone."""

    name: str


class ForgetResponse(Body, frozen=True, tag="Forgotten"):
    """Answers a `ForgetRequest` for the coordinator.

    `is_running` says that the member is present, in which case no slots are freed.
    """

    name: str
    is_running: bool
    freed_slots: int


class PeerData(Body, frozen=True, tag="Words"):
    """Carries opaque application data to another gateway, with the slots that its sender holds."""

    data: bytes
    slots: bytes


MessageBody = (
    Ping
    | Ack
    | Nack
    | PingRequest
    | Vote
    | LeaseRequest
    | LeaseGrant
    | LeaseRelease
    | ViewAnnouncement
    | SlownessReport
    | PeerData
    | ForgetRequest
    | ForgetResponse
)


class Leader(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the coordinator of an epoch."""

    epoch: Epoch
    member_id: MemberId
    host: str
    port: int

    @property
    def address(self) -> Address:
        """Returns the address at which the coordinator is reached."""
        return self.host, self.port


class MemberMessage(msgspec.Struct, frozen=True, array_like=True):
    """Holds one datagram: its sender, body, gossip updates and the newest coordinator known to the sender.

    `digest` is a 32-bit digest of the sender's live members; members that agree have equal digests.
    """

    fleet: str
    name: str
    created_at_ms: int
    body: MessageBody
    digest: int
    updates: tuple[GossipUpdate, ...] = ()
    leader: Leader | None = None

    @property
    def member_id(self) -> MemberId:
        """Returns the sender's name and creation time."""
        return self.name, self.created_at_ms


class TableSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Holds all that one member knows, sent over a connection.

    An exchange of snapshots repairs differences that lost updates have left.
    """

    fleet: str
    name: str
    created_at_ms: int
    updates: tuple[GossipUpdate, ...]
    view: View | None
    leader: Leader | None
