"""Holds the state that the components of one member share."""

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
    """Holds the state of one member; its components change it, and its host reads it."""

    settings: MemberSettings
    rng: random.Random
    member_table: MemberTable
    prober: Prober
    lease: SlotLease
    gossip: GossipQueue = field(default_factory=GossipQueue)
    slowness: Slowness = field(default_factory=Slowness)
    view: View | None = None
    leader: Leader | None = None  # the coordinator of the newest epoch known
    has_left: bool = False  # the member has shut down or is fenced, and sends nothing any more
    is_fenced: bool = False  # a newer process runs under this member's name

    @property
    def member_id(self) -> MemberId:
        """Returns the name and creation time by which the fleet knows this process."""
        return self.member_table.own_update.member_id

    def view_number(self) -> ViewNumber:
        """Returns the number of the newest known view, or `NO_VIEW`."""
        return self.view.number if self.view else NO_VIEW
