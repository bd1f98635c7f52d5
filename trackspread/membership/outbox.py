"""Collects the actions that a member requests of its host, in order."""

from __future__ import annotations

from .actions import Action, ExchangeTables, SendMessage, StatusEvent
from .identifiers import Address
from .member_state import MemberState
from .messages import GossipUpdate, MemberMessage, MessageBody, Ping, State


class Outbox:
    """Holds the actions of one member since its host last took them."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._actions: list[Action] = []

    def take(self) -> list[Action]:
        """Returns and removes all collected actions, which the host then performs."""
        actions = self._actions
        self._actions = []
        return actions

    def add(self, action: Action) -> None:
        """Adds an action unchanged."""
        self._actions.append(action)

    def send(self, address: Address, body: MessageBody, updates_first: tuple[GossipUpdate, ...] = ()) -> None:
        """Sends this body with `updates_first`, followed by queued gossip updates."""
        state = self._state
        updates = (*updates_first, *state.gossip.next_updates(state.member_table.present_count()))
        digest = state.member_table.digest()
        message = MemberMessage(state.settings.fleet, *state.member_id, body, digest, updates, state.leader)
        self._actions.append(SendMessage(address, message))

    def ping(self, update: GossipUpdate, sequence: int) -> None:
        """Pings the member of this update."""
        # The ping carries the suspicion, so that a suspected member can refute it at once.
        is_suspected = update.state in (State.SUSPECT, State.DEAD)
        body = Ping(sequence, update.member_id)
        self.send(update.address, body, (update,) if is_suspected else ())

    def exchange_tables(self, address: Address) -> None:
        """Exchanges member tables with the member at this address."""
        self._actions.append(ExchangeTables(address))

    def report(self, kind: str, **details: object) -> None:
        """Reports an event; `kind` and the names of `details` are written to the event log."""
        self._actions.append(StatusEvent(kind, details))
