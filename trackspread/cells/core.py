"""What the cores of gateways and control machines have in common: they pass their members' actions on."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..membership.actions import Action
from ..membership.identifiers import Address
from ..membership.member import Member
from ..membership.messages import MemberMessage, TableSnapshot
from .actions import CellsAction, MemberAction


class CellsCore:
    """Base of both cores."""

    def __init__(self) -> None:
        self.has_left = False  # shut down: nothing is sent any more
        self._actions: list[CellsAction] = []

    def receive(self, now_ns: int, message: MemberMessage, source: Address) -> list[CellsAction]:
        """A datagram of a view, from the address `source`."""
        return self._in_view(message.fleet, lambda member: member.receive(now_ns, message, source))

    def merge(self, now_ns: int, table: TableSnapshot) -> list[CellsAction]:
        """Another member's table of a view."""
        return self._in_view(table.fleet, lambda member: member.merge(now_ns, table))

    def table_snapshot(self, fleet: str) -> TableSnapshot | None:
        """All that is known of a view, for another member of it; None for an unknown view."""
        member = self._member_in(fleet)
        return member.table_snapshot() if member is not None else None

    def _member_in(self, fleet: str) -> Member | None:
        """The member here in the view of this name."""
        raise NotImplementedError

    def _in_view(self, fleet: str, call: Callable[[Member], Iterable[Action]]) -> list[CellsAction]:
        member = self._member_in(fleet)
        if member is not None and not self.has_left:
            self._add_member_actions(fleet, call(member))
        return self._take_actions()

    def _add_member_actions(self, fleet: str, actions: Iterable[Action]) -> None:
        self._actions += [MemberAction(fleet, action) for action in actions]

    def _take_actions(self) -> list[CellsAction]:
        actions = self._actions
        self._actions = []
        return actions
