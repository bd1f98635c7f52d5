"""What the parts of one member share: its tables and what it knows of the fleet."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .gossip import GossipQueue
from .identifiers import NO_VIEW, MemberId, ViewNumber
from .member_table import MemberTable
from .messages import Leader, View
from .prober import Prober
from .settings import MemberSettings
from .slot_lease import SlotLease
from .slowness import Slowness


@dataclass(slots=True)
class MemberState:
    """State of one member; its parts change it, its host reads it."""

    settings: MemberSettings
    rng: random.Random
    member_table: MemberTable
    prober: Prober
    lease: SlotLease
    gossip: GossipQueue = field(default_factory=GossipQueue)
    slowness: Slowness = field(default_factory=Slowness)
    view: View | None = None
    leader: Leader | None = None  # the coordinator of the newest epoch known
    has_left: bool = False  # shut down or fenced: nothing is sent any more
    is_fenced: bool = False  # a newer process runs under this name

    @property
    def member_id(self) -> MemberId:
        """Name and creation time of this process, as the fleet knows it."""
        return self.member_table.own_update.member_id

    def view_number(self) -> ViewNumber:
        """Number of the newest view known."""
        return self.view.number if self.view else NO_VIEW
