"""Provides the common base of gateways and control machines, which forwards their members' actions."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..membership.actions import Action
from ..membership.identifiers import Address
from ..membership.member import Member
from ..membership.messages import MemberMessage, TableSnapshot
from .actions import CellsAction, MemberAction


class CellsCore:
    """Forwards datagrams and tables to the member of their view, and collects its actions."""

    def __init__(self) -> None:
        self.has_left = False  # the process has shut down and sends nothing any more
        self._actions: list[CellsAction] = []

    def receive(self, now_ns: int, message: MemberMessage, source: Address) -> list[CellsAction]:
        """Handles a datagram of a view from the address `source`."""
        return self._in_view(message.fleet, lambda member: member.receive(now_ns, message, source))

    def merge(self, now_ns: int, table: TableSnapshot) -> list[CellsAction]:
        """Merges another member's table of a view."""
        return self._in_view(table.fleet, lambda member: member.merge(now_ns, table))

    def table_snapshot(self, fleet: str) -> TableSnapshot | None:
        """Returns all that is known of a view, for another member of it, or None for an unknown view."""
        member = self._member_in(fleet)
        return member.table_snapshot() if member is not None else None

    def _member_in(self, fleet: str) -> Member | None:
        """Returns this process's member in the view of this name, or None where it has none."""
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
