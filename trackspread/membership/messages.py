"""Messages between members.

The structs are arrays on the wire: the order of their fields is the format, and the tag of a body is its
kind. Tags differ from class names where they are older than these names.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from .identifiers import Address, Epoch, ListPosition, MemberId, ViewNumber


class State(IntEnum):
    """State of a member. Of two updates on one process the one with the greater (incarnation, state) holds;
    only the member itself begins a new incarnation, to say that it is alive."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # crashed, stopped or out of everybody's reach
    LEFT = 3  # shut down gracefully; it only comes back as another process


class GossipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One update on one member; the one of greater rank holds, in whatever order they arrive."""

    name: str
    created_at_ms: int
    incarnation: int
    state: int
    host: str
    port: int
    version: str = ""
    slow: bool = False  # reported by the member itself, as many see it so: others should not wait for it

    @property
    def member_id(self) -> MemberId:
        """Which process it is on."""
        return self.name, self.created_at_ms

    @property
    def rank(self) -> tuple[int, int, int]:
        """Precedence among updates on one name."""
        return self.created_at_ms, self.incarnation, self.state

    @property
    def address(self) -> Address:
        """Where the member is reached."""
        return self.host, self.port


class View(msgspec.Struct, frozen=True, array_like=True):
    """The agreed members of the fleet: one number names one view. `parent`: the view that it follows."""

    number: ViewNumber
    parent: ViewNumber
    members: tuple[MemberId, ...]  # sorted


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Content of one datagram."""


class Ping(Body, frozen=True):
    """Probes a member; the message of a suspected one carries the suspicion too."""

    sequence: int
    target: MemberId


class Ack(Body, frozen=True):
    """Answers a ping. `first_epoch`: of the coordinator that first granted its sender slots."""

    sequence: int
    first_epoch: Epoch | None = None


class Nack(Body, frozen=True):
    """A helper has had no ack in time: the helper is reachable, whatever its target is."""

    sequence: int


class PingRequest(Body, frozen=True, tag="Help"):
    """Asks the receiver to ping the target for the sender."""

    sequence: int
    target: MemberId
    host: str
    port: int


class Vote(Body, frozen=True):
    """Message of the seeds' election of a coordinator; the ballot is (`round`, `ballot_seed`)."""

    seed: int  # index of the sender
    kind: str
    round: int
    ballot_seed: int
    owner: int


class LeaseRequest(Body, frozen=True, tag="Renew"):
    """A member asks the coordinator to grant slots or renew its lease.

    `sent_at_ns`: on the sender's clock, returned in the grant. `slots`: those granted to it that have not
    expired; `serial`: by which grant of this epoch, 0 for an earlier epoch's. `first_epoch`: no coordinator
    of another epoch has granted it any.
    """

    sent_at_ns: int
    epoch: Epoch
    serial: int
    slots: bytes
    view_number: ViewNumber
    position: ListPosition
    first_epoch: bool = False


class LeaseGrant(Body, frozen=True, tag="Grant"):
    """The coordinator grants slots for `duration_ns` from `sent_at_ns` on, and names its newest view."""

    sent_at_ns: int
    epoch: Epoch
    serial: int
    slots: bytes
    view_number: ViewNumber
    duration_ns: int


class LeaseRelease(Body, frozen=True, tag="Release"):
    """A process that stops or is fenced gives up its slots; another may run under its name."""

    epoch: Epoch


class ViewAnnouncement(Body, frozen=True, tag="Fresh"):
    """The coordinator has been elected or has a new view; `view` is absent where it does not fit."""

    view_number: ViewNumber
    view: View | None


class SlownessReport(Body, frozen=True, tag="Report"):
    """The sender finds this member slow, or no longer slow."""

    member_id: MemberId
    slow: bool


class ForgetRequest(Body, frozen=True, tag="Forget"):
    """An operator declares that the member of this name is gone for good."""

    name: str


class ForgetResponse(Body, frozen=True, tag="Forgotten"):
    """The coordinator's answer. `is_running`: it is present, and nothing is freed; else how many slots
    are."""

    name: str
    is_running: bool
    freed_slots: int


class PeerData(Body, frozen=True, tag="Words"):
    """Opaque data of the program for another gateway. `slots`: those that its sender holds."""

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
    """The coordinator of an epoch."""

    epoch: Epoch
    member_id: MemberId
    host: str
    port: int

    @property
    def address(self) -> Address:
        """Where it is reached."""
        return self.host, self.port


class MemberMessage(msgspec.Struct, frozen=True, array_like=True):
    """One datagram: its sender, body, gossip updates and the newest coordinator that the sender knows.

    `digest`: 32 bits of the sender's live members; members that agree have the same.
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
        """Its sender."""
        return self.name, self.created_at_ms


class TableSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All that one member knows, sent over a connection: it repairs what lost updates left different."""

    fleet: str
    name: str
    created_at_ms: int
    updates: tuple[GossipUpdate, ...]
    view: View | None
    leader: Leader | None
