"""Applies changes of the fleet view to static shares, owners and the choice between gossip and owners."""

from __future__ import annotations

from dataclasses import replace

from ..events import FleetChanged
from . import token_bucket
from .counter_sharing import CounterSharing
from .freshness import FRESH_NS
from .gossip_sharing import GossipSharing
from .lease_sharing import LeaseSharing
from .owner_sharing import OwnerSharing
from .sharing import QuotaSharing
from .state import QuotaState
from .static_sharing import StaticSharing
from ..settings import Settings
from ..time_units import SECOND

# With a longer interval reports would not be fresh, so quotas have owners instead.
MAX_GOSSIP_INTERVAL_NS = FRESH_NS // 4
# A fleet with owners changes to gossip only below this part of the longest interval, so that it does not
# switch back and forth.
START_GOSSIP_PART = 0.25


def gossip_interval_ns(settings: Settings) -> float:
    """Returns the interval of a gateway's reports to all others.

    It is such that the reports take half of the messages that a peer accepts.
    """
    messages = 2 * (settings.gateway_count - 1)
    return messages * SECOND / max(1.0, settings.peer_messages_per_s)


def choose_sharing(state: QuotaState, bound: float = 1.0) -> QuotaSharing:
    """Returns the way of sharing quotas for these settings and this number of gateways.

    `bound` limits the gossip interval, as a part of the longest one.
    """
    may_gossip = state.settings.may_gossip
    interval_ns = gossip_interval_ns(state.settings)
    state.uses_gossip = may_gossip and interval_ns <= bound * MAX_GOSSIP_INTERVAL_NS
    state.has_owners = may_gossip and not state.uses_gossip
    if state.has_leases:
        return LeaseSharing(state)
    if state.uses_gossip:
        return GossipSharing(state)
    if state.has_owners:
        return OwnerSharing(state)
    if state.uses_counter:
        return CounterSharing(state)
    return StaticSharing(state)


def change_fleet(sharing: QuotaSharing, now: int, view: FleetChanged) -> QuotaSharing:
    """Applies a view and returns the way of sharing quotas from now on.

    With leases nothing changes, because these already determine the parts of tenants' limits at this gateway.
    """
    state = sharing.state
    if not sharing.has_static_shares:
        return sharing
    old = state.view
    if old is None or _has_other_shares(old, view):
        for account in state.accounts.values():
            token_bucket.refill(sharing, now, account)
    state.change_view(view)
    if old is not None:
        _receive_slots(state, view.own_slots & ~old.own_slots)
        if old.own_slots and now >= old.reassigned_at_ns:
            _empty_reassigned(state)
    if old is not None and (old.peers, old.quota_owners) == (view.peers, view.quota_owners):
        return sharing
    return _change_peers(state, now, old, view)


def _has_other_shares(old: FleetChanged, new: FleetChanged) -> bool:
    old_shares = old.peers, old.quota_owners, old.own_slots, old.peer_slots
    return old_shares != (new.peers, new.quota_owners, new.own_slots, new.peer_slots)


def _receive_slots(state: QuotaState, received: int) -> None:
    """Applies slots that are new at this gateway.

    No gateway reports what their former holders used, so at most these slots' part of the burst is returned
    to the bucket.
    """
    shares = state.slot_shares()
    if not received or shares is None:
        return
    for account in state.accounts.values():
        received_units = account.plan.burst_units * shares.share_of_slots(account, received)
        account.unresponsive_units = min(account.unresponsive_units, received_units)


def _empty_reassigned(state: QuotaState) -> None:
    """Empties shares of slots that others may have held, because the old view expired long ago."""
    for account in state.accounts.values():
        account.hard_limit_tokens = min(0.0, account.hard_limit_tokens)
        account.static_tokens = min(0.0, account.static_tokens)


def _change_peers(state: QuotaState, now: int, old: FleetChanged | None, view: FleetChanged) -> QuotaSharing:
    if old is not None and set(view.peers) - set(old.peers):
        state.last_return_ns = now
    state.fleet_version += 1
    if old is not None and old.own_slots:
        state.owners_moved = True
    state.settings = replace(
        state.settings, gateway_count=1 + len(view.peers), gateway_index=view.own_number, may_gossip=True
    )
    # The halves of a partitioned fleet keep their way of sharing, so that they agree with each other after
    # the partition has healed.
    return choose_sharing(state, 1.0 if state.uses_gossip or old is None else START_GOSSIP_PART)
