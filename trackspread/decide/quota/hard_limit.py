"""Applies a plan's hard limit: its bucket at this gateway, and transfers between peers with parts of it."""

from __future__ import annotations

from ..actions import Action
from ..peer_messages import QuotaMessage, QuotaMessageKind
from ..settings import Plan
from ..tenant_account import TenantAccount
from ..time_units import SECOND
from .state import QuotaState

# Part of a hard limit that the owner grants; the rest is static, for times when the owner is unresponsive.
OWNER_PART = 0.75
# A part runs low if it covers the demand for less than this time, which is two rounds of gossip.
SHORT_NS = SECOND // 2
RESERVED_NS = SECOND  # how much of its own demand a gateway keeps when others ask
TRANSFER_PART = 0.75  # Part of the remaining units that goes to one peer, because others may ask too.
# Transfers and their requests may take this part of the messages that a gateway accepts.
TRANSFER_PART_OF_MESSAGES = 0.25
UNIT_STEP = 0.25  # resolution of units in messages


def refill(account: TenantAccount, share: float, elapsed_s: float) -> None:
    """Refills the bucket with this share of the hard limit."""
    plan = account.plan
    account.hard_limit_tokens = min(
        plan.hard_limit_burst_units * share,
        account.hard_limit_tokens + plan.hard_limit_per_s * share * elapsed_s,
    )


def unspent_units(plan: Plan) -> float:
    """Returns the units of an owner's part of a hard limit that its predecessor certainly left unspent.

    The predecessor is assumed to have run until now. Everything that it granted was within the quota, so it
    granted at most a burst and then the quota's rate. The result is 0.0 if that does not hold.
    """
    owner_per_s = plan.hard_limit_per_s * OWNER_PART
    pays_overage = plan.overage_weight > plan.overage_cost
    if pays_overage or not plan.rate_per_s > 0.0 or owner_per_s < plan.rate_per_s:
        return 0.0
    return max(0.0, plan.hard_limit_burst_units * OWNER_PART - plan.burst_units)


def request_transfer(state: QuotaState, now: int, account: TenantAccount) -> list[Action]:
    """Asks a peer for units of its part of a hard limit if the part here runs low.

    The parts are even while the demand is not. Without transfers, a tenant whose requests come through one
    gateway would get only that gateway's part.
    """
    plan = account.plan
    if not plan.hard_limit_per_s or now < state.next_transfer_request_ns:
        return []
    peers = state.static_shares.peers_with_share(account)
    if not peers:
        return []
    full_units = plan.hard_limit_burst_units * state.static_shares.share(now, account)
    demand_units_per_s = account.demand.rate_per_s(now) * account.demand.value
    if account.hard_limit_tokens >= min(full_units / 2, demand_units_per_s * SHORT_NS / SECOND):
        return []
    # Each request is one message to a peer and causes at most one answer.
    messages_per_s = max(1.0, TRANSFER_PART_OF_MESSAGES * state.settings.peer_messages_per_s)
    state.next_transfer_request_ns = now + int(2 * SECOND / messages_per_s)
    query = state.next_query()
    account.transfer_request = query
    peer = peers[query % len(peers)]
    wanted_units = full_units - account.hard_limit_tokens
    kind = QuotaMessageKind.TRANSFER_REQUEST
    return [state.message_to(now, peer, account, kind, wanted_units, query)]


def receive_transfer(state: QuotaState, now: int, account: TenantAccount, message: QuotaMessage) -> None:
    """Adds units that a peer transferred.

    Only the first copy of an answer counts, and no part ever exceeds its static share. Together the parts
    therefore never exceed the hard limit.
    """
    if message.query != account.transfer_request:
        return
    account.transfer_request = 0
    full_units = account.plan.hard_limit_burst_units * state.static_shares.share(now, account)
    account.hard_limit_tokens = min(full_units, account.hard_limit_tokens + message.units)


def grant_transfer(
    state: QuotaState, now: int, sender: int, account: TenantAccount, message: QuotaMessage
) -> list[Action]:
    """Transfers units to a peer that asks for them.

    The units are deducted before they are sent, so that a lost message loses units but never duplicates them.
    """
    demand_units_per_s = account.demand.rate_per_s(now) * account.demand.value
    reserved_units = max(state.settings.largest_request_units, demand_units_per_s * RESERVED_NS / SECOND)
    spare_units = TRANSFER_PART * (account.hard_limit_tokens - reserved_units)
    units = UNIT_STEP * int(min(message.units, spare_units) / UNIT_STEP)
    if units <= 0.0:
        return []
    account.hard_limit_tokens -= units
    return [state.message_to(now, sender, account, QuotaMessageKind.TRANSFER, units, message.query)]
