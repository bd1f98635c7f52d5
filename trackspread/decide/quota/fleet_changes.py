"""Changes of the fleet view: static shares, owners, and whether gossip is in time with so many gateways."""

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

MAX_GOSSIP_INTERVAL_NS = FRESH_NS // 4  # beyond it reports are not fresh: quotas have owners
# Of the longest interval: a fleet that did not gossip starts below it, or it would flap.
START_GOSSIP_PART = 0.25


def gossip_interval_ns(settings: Settings) -> float:
    """Between two reports of a gateway to all others, if each peer's take half of the messages it takes
    in."""
    messages = 2 * (settings.gateway_count - 1)
    return messages * SECOND / max(1.0, settings.peer_messages_per_s)


def choose_sharing(state: QuotaState, bound: float = 1.0) -> QuotaSharing:
    """The way to share quotas, by settings and number of gateways. `bound`: of the gossip interval, as a part
    of the longest one."""
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
    """Take in a view, and return the way to share quotas from now on. With leases nothing changes: those say
    already which part of each tenant's limits is here."""
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
    """Slots that are new here: nobody reports what those used that had them, so less of it comes back."""
    shares = state.slot_shares()
    if not received or shares is None:
        return
    for account in state.accounts.values():
        received_units = account.plan.burst_units * shares.share_of_slots(account, received)
        account.unresponsive_units = min(account.unresponsive_units, received_units)


def _empty_reassigned(state: QuotaState) -> None:
    """The old view ended so long ago that others have had this gateway's slots meanwhile."""
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
    # Halves of a fleet that is cut in two go on as before, and so agree with each other once it is healed.
    return choose_sharing(state, 1.0 if state.uses_gossip or old is None else START_GOSSIP_PART)
