"""Collects what a member wants its host to do, in order."""

from __future__ import annotations

from .actions import Action, ExchangeTables, SendMessage, StatusEvent
from .identifiers import Address
from .member_state import MemberState
from .messages import GossipUpdate, MemberMessage, MessageBody, Ping, State


class Outbox:
    """Actions of one member since its host took them last."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._actions: list[Action] = []

    def take(self) -> list[Action]:
        """All collected actions, which the host then performs."""
        actions = self._actions
        self._actions = []
        return actions

    def add(self, action: Action) -> None:
        """Add an action as it is."""
        self._actions.append(action)

    def send(self, address: Address, body: MessageBody, updates_first: tuple[GossipUpdate, ...] = ()) -> None:
        """Send this body, with `updates_first` and then queued gossip updates."""
        state = self._state
        updates = (*updates_first, *state.gossip.next_updates(state.member_table.present_count()))
        digest = state.member_table.digest()
        message = MemberMessage(state.settings.fleet, *state.member_id, body, digest, updates, state.leader)
        self._actions.append(SendMessage(address, message))

    def ping(self, update: GossipUpdate, sequence: int) -> None:
        """Ping the member of this update."""
        # A suspected member learns of it by this very ping, and can refute it at once.
        is_suspected = update.state in (State.SUSPECT, State.DEAD)
        body = Ping(sequence, update.member_id)
        self.send(update.address, body, (update,) if is_suspected else ())

    def exchange_tables(self, address: Address) -> None:
        """Exchange member tables with the member at this address."""
        self._actions.append(ExchangeTables(address))

    def report(self, kind: str, **details: object) -> None:
        """Report an event; `kind` and the names of `details` stand in the event log."""
        self._actions.append(StatusEvent(kind, details))
