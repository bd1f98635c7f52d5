"""The vocabulary of the view: who a member is, what is told of it, and what members say to one another.

Times are integer nanoseconds on each process's own monotonic clock; only lengths ever travel, and stamps that
come back to whoever made them. A member is (name, born): a process that starts anew under a name is another
member, so that nothing which was said of, promised by or granted to the former one holds for it. Nothing here
decides anything.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

from ..planning.timing import CLOCK_DRIFT

DRIFT = CLOCK_DRIFT

MS = 1_000_000
SECOND = 1000 * MS

Address = tuple[str, int]
Who = tuple[str, int]  # name, and wall clock at its start in ms: which process under that name
Place = tuple[int, int]  # of the platform's list of gateways: number and of how many; (-1, 0): none
WITNESS: Place = (-2, 0)  # of a member that may vote and coordinate and is in views, but holds no part
Epoch = tuple[int, int]  # round of the ballot that won, and the seed that won it
Number = tuple[int, int, int]  # a view's: epoch and count in it; the greater is the newer
NO_NUMBER: Number = (0, -1, 0)


class State(IntEnum):
    """What is told of a member. Of two words on one process the greater (life, state) holds; only the member
    itself begins a new life, to say that it is alive."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2  # crashed, stopped or out of everybody's reach
    LEFT = 3  # in good order; it never comes back but as another process


class GossipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One word on one member; the greater of two holds, whatever the order in which they come."""

    name: str
    born: int
    life: int
    state: int
    host: str
    port: int
    version: str = ""
    slow: bool = False  # it says of itself, as many see it so, that others should not wait for it

    @property
    def who(self) -> Who:
        return self.name, self.born

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.born, self.life, self.state

    @property
    def address(self) -> Address:
        return self.host, self.port


class View(msgspec.Struct, frozen=True, array_like=True):
    """Who is in the fleet, agreed: under one number there is one view. `parent`: the one it follows."""

    number: Number
    parent: Number
    members: tuple[Who, ...]  # sorted


class Body(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What one datagram is about."""


class Ping(Body, frozen=True):
    """Are you there? Whoever is suspected has the word that says so beside it."""

    seq: int
    to: Who


class Ack(Body, frozen=True):
    """`first`: of the coordinator that first granted its sender a part."""

    seq: int
    first: Epoch | None = None


class Nack(Body, frozen=True):
    """A helper's word that it has had no answer in time: it is there, and so is the way to it."""

    seq: int


class Help(Body, frozen=True):
    """Ping this one for me."""

    seq: int
    to: Who
    host: str
    port: int


class Vote(Body, frozen=True):
    """A word of the seeds' election of a coordinator."""

    seed: int
    kind: str
    round: int
    by: int
    owner: int


class Renew(Body, frozen=True):
    """A member asks the coordinator for its part anew. `stamp`: its own clock, to come back; `part`: the
    slots granted to it that have not ended, `serial`: by which grant of this epoch, 0 for a former one's;
    `number`: the newest view it has; `place`: its own; `fresh`: no coordinator of another epoch has ever
    granted it one."""

    stamp: int
    epoch: Epoch
    serial: int
    part: bytes
    number: Number
    place: Place
    fresh: bool = False


class Grant(Body, frozen=True):
    """The coordinator's answer: slots for so many ns from `stamp` on, and the newest view's number."""

    stamp: int
    epoch: Epoch
    serial: int
    part: bytes
    number: Number
    lasts: int


class Release(Body, frozen=True):
    """A process that ends, or is fenced off, holds nothing any more; another goes on under its name."""

    epoch: Epoch


class Fresh(Body, frozen=True):
    """The coordinator has another view, or has just come to be it; `view`: itself, where it fits."""

    number: Number
    view: View | None


class Report(Body, frozen=True):
    """The sender finds this member slow, or no longer."""

    of: Who
    slow: bool


class Forget(Body, frozen=True):
    """An operator's word, signed like all else: the member of this name is gone for good."""

    name: str


class Forgotten(Body, frozen=True):
    """The coordinator's answer. `runs`: it is here, and nothing is forgotten; else the slots that are free
    again."""

    name: str
    runs: bool
    slots: int


class PeerData(Body, frozen=True, tag="Words"):
    """What the program has to tell another gateway; what it means is not known here. `part`: the slots that
    its sender holds."""

    data: bytes
    part: bytes


Bodies = (
    Ping | Ack | Nack | Help | Vote | Renew | Grant | Release | Fresh | Report | PeerData | Forget | Forgotten
)


class Leader(msgspec.Struct, frozen=True, array_like=True):
    """Who coordinates, as far as somebody knows."""

    epoch: Epoch
    who: Who
    host: str
    port: int

    @property
    def address(self) -> Address:
        return self.host, self.port


class MemberMessage(msgspec.Struct, frozen=True, array_like=True):
    """One datagram: who sends it, what it is about, what else its sender has to tell, and which coordinator
    it knows of. `digest`: of who is live for the sender; two that agree have the same."""

    fleet: str
    name: str
    born: int
    body: Bodies
    digest: int
    updates: tuple[GossipUpdate, ...] = ()
    leader: Leader | None = None

    @property
    def who(self) -> Who:
        return self.name, self.born


class Table(msgspec.Struct, frozen=True, array_like=True):
    """All that one member knows, for another over a connection: what updates missed."""

    fleet: str
    name: str
    born: int
    updates: tuple[GossipUpdate, ...]
    view: View | None
    leader: Leader | None


# What a member wants done.


class Say(NamedTuple):
    """Send this datagram."""

    to: Address
    message: MemberMessage


class Exchange(NamedTuple):
    """Swap tables with whoever is there, over a connection; what comes back goes to `merge`."""

    to: Address


class Heard(NamedTuple):
    """Words of a member that is here."""

    name: str
    data: bytes
    part: int  # the slots that it holds


class Noticed(NamedTuple):
    """Something came to be, for log, records and whoever hangs on the view."""

    kind: str
    about: dict[str, object]


Action = Say | Exchange | Heard | Noticed


class Settings(NamedTuple):
    """One member's. `seeds`: the same in the same order everywhere; the election's voters."""

    fleet: str
    name: str
    born: int
    address: Address  # by which others reach it
    seeds: tuple[Address, ...]
    version: str = ""
    period: int = 300 * MS  # between two probes of one member
    most: int = 64  # members at most; more are not taken into the table
    place: Place = (-1, 0)
    keep: int = 30 * SECOND  # that a silent member keeps its part for; the same in all of the fleet

    @property
    def who(self) -> Who:
        return self.name, self.born
