"""A plan's hard limit: its bucket at this gateway, and transfers between peers that have parts of it."""

from __future__ import annotations

from ..actions import Action
from ..peer_messages import QuotaMessage, QuotaMessageKind
from ..settings import Plan
from ..tenant_account import TenantAccount
from ..time_units import SECOND
from .state import QuotaState

OWNER_PART = 0.75  # of a hard limit, handed out by an owner; the rest is static, for when it is unresponsive
SHORT_NS = SECOND // 2  # a part that lasts for less of the demand is short: two rounds of gossip
RESERVED_NS = SECOND  # of its own demand, that a gateway keeps when others ask
TRANSFER_PART = 0.75  # of what is left beyond that, for one peer: others may ask too
TRANSFER_PART_OF_MESSAGES = 0.25  # of the messages that a gateway takes in, for transfers and their requests
UNIT_STEP = 0.25  # units in which messages count


def refill(account: TenantAccount, share: float, elapsed_s: float) -> None:
    """Fill the bucket by this share of the hard limit."""
    plan = account.plan
    account.hard_limit_tokens = min(
        plan.hard_limit_burst_units * share,
        account.hard_limit_tokens + plan.hard_limit_per_s * share * elapsed_s,
    )


def unspent_units(plan: Plan) -> float:
    """Of an owner's part of a hard limit, what a predecessor that ran until just now surely left: as all that
    it granted was inside the quota, it passed on a burst and then the quota's rate at most. 0.0 where that
    does not hold."""
    owner_per_s = plan.hard_limit_per_s * OWNER_PART
    pays_overage = plan.overage_weight > plan.overage_cost
    if pays_overage or not plan.rate_per_s > 0.0 or owner_per_s < plan.rate_per_s:
        return 0.0
    return max(0.0, plan.hard_limit_burst_units * OWNER_PART - plan.burst_units)


def request_transfer(state: QuotaState, now: int, account: TenantAccount) -> list[Action]:
    """Ask a peer for some of its part of a hard limit that runs short here. Parts are even while demand is
    not: a tenant that comes through one gateway would get that one's part alone."""
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
    # Each request is one message to a peer, and brings one at most.
    messages_per_s = max(1.0, TRANSFER_PART_OF_MESSAGES * state.settings.peer_messages_per_s)
    state.next_transfer_request_ns = now + int(2 * SECOND / messages_per_s)
    query = state.next_query()
    account.transfer_request = query
    peer = peers[query % len(peers)]
    wanted_units = full_units - account.hard_limit_tokens
    kind = QuotaMessageKind.TRANSFER_REQUEST
    return [state.message_to(now, peer, account, kind, wanted_units, query)]


def receive_transfer(state: QuotaState, now: int, account: TenantAccount, message: QuotaMessage) -> None:
    """A peer gave units of its part. Only the first copy of an answer counts, and no part ever holds more
    than its static one: together the parts never hold more than the hard limit."""
    if message.query != account.transfer_request:
        return
    account.transfer_request = 0
    full_units = account.plan.hard_limit_burst_units * state.static_shares.share(now, account)
    account.hard_limit_tokens = min(full_units, account.hard_limit_tokens + message.units)


def grant_transfer(
    state: QuotaState, now: int, sender: int, account: TenantAccount, message: QuotaMessage
) -> list[Action]:
    """A peer asks for units of the part here. They are deducted before they are sent: a lost message loses
    units, it never doubles them."""
    demand_units_per_s = account.demand.rate_per_s(now) * account.demand.value
    reserved_units = max(state.settings.largest_request_units, demand_units_per_s * RESERVED_NS / SECOND)
    spare_units = TRANSFER_PART * (account.hard_limit_tokens - reserved_units)
    units = UNIT_STEP * int(min(message.units, spare_units) / UNIT_STEP)
    if units <= 0.0:
        return []
    account.hard_limit_tokens -= units
    return [state.message_to(now, sender, account, QuotaMessageKind.TRANSFER, units, message.query)]
