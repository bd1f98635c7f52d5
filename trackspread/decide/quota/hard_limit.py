"""Applies a plan's hard limit: its bucket at this gateway, and transfers between peers with parts of it."""

from __future__ import annotations

from ..actions import Action
from ..open_request import OpenRequest
from ..peer_messages import QuotaMessage, QuotaMessageKind
from ..settings import Plan
from ..tenant_account import ArrivalInTransit, TenantAccount
from ..time_units import SECOND
from .freshness import UNRESPONSIVE_NS
from .state import QuotaState

# Part of a hard limit that the owner grants; the rest is static, for times when the owner is unresponsive.
OWNER_PART = 0.75
# A part runs low if it covers the demand for less than this time, which is two rounds of gossip.
SHORT_NS = SECOND // 2
RESERVED_NS = SECOND  # how much of its own demand a gateway keeps when others ask
TRANSFER_PART = 0.75  # Part of the remaining units that goes to one peer, because others may ask too.
# Transfers and their requests may take this part of the messages that a gateway accepts.
TRANSFER_PART_OF_MESSAGES = 0.25
PROMPT_ARRIVAL_S = 0.1  # from a request's start to its answer; on sockets the slack covers 0.15 s
UNIT_STEP = 0.25  # resolution of units in messages


def refill(account: TenantAccount, share: float, elapsed_s: float) -> None:
    """Refills the bucket with this share of the hard limit, up to `refilled_at_ns`."""
    refilled_units = account.plan.hard_limit_per_s * share * elapsed_s
    account.hard_limit_tokens = min(
        _units_refilled_to(account, share), account.hard_limit_tokens + refilled_units
    )
    forget_arrivals(account)


def forget_arrivals(account: TenantAccount) -> None:
    """Drops what limits a refill up to `refilled_at_ns`, because it was done or left out."""
    account.arrivals_since_refill.clear()


def _units_refilled_to(account: TenantAccount, share: float) -> float:
    """Returns the most units that the bucket can have at `refilled_at_ns`.

    Before each arrival since the last refill its limit was lower, by the units then in transit. It can have
    exceeded that limit only by the refill after that arrival.
    """
    per_s = account.plan.hard_limit_per_s * share
    units = full_units(account, share)
    for arrival in account.arrivals_since_refill:
        since_s = (account.refilled_at_ns - arrival.at_ns) / SECOND
        units = min(units, _units_beside(account, share, arrival.units_in_transit) + per_s * since_s)
    return units


def full_units(account: TenantAccount, share: float) -> float:
    """Returns the units up to which the bucket is filled with this share of the hard limit.

    The limit holds where requests arrive, and those in transit may all arrive at once, however long after
    their start, so the bucket is filled up to its burst less these units. Those of `PROMPT_ARRIVAL_S` are
    covered by the limit's slack.
    """
    return _units_beside(account, share, account.units_in_transit)


def _units_beside(account: TenantAccount, share: float, units_in_transit: float) -> float:
    plan = account.plan
    prompt_units = plan.hard_limit_per_s * share * PROMPT_ARRIVAL_S
    units_beside = max(0.0, units_in_transit - prompt_units) + _units_elsewhere(account)
    return plan.hard_limit_burst_units * share - units_beside


def _units_elsewhere(account: TenantAccount) -> float:
    """Returns the units in transit of requests that other gateways send, granted by this one as the owner."""
    return sum(
        reported.units
        for reported in account.owner_record.units_in_transit.values()
        if account.refilled_at_ns - reported.reported_at_ns < UNRESPONSIVE_NS
    )


def request_started(request: OpenRequest, units: float) -> None:
    """Notes that units which a request took are on their way to a backend."""
    account = request.account
    request.units_in_transit = units
    account.units_in_transit += units
    # None are left after a refill, and a request that another process started comes without one.
    account.arrivals_since_refill = [
        arrival._replace(units_in_transit=arrival.units_in_transit + units)
        for arrival in account.arrivals_since_refill
    ]


def request_arrived(now: int, request: OpenRequest) -> None:
    """Notes that a request has arrived at a backend, or will not any more."""
    account = request.account
    if request.units_in_transit:
        account.arrivals_since_refill.append(ArrivalInTransit(account.units_in_transit, now))
        account.units_in_transit = max(0.0, account.units_in_transit - request.units_in_transit)
        request.units_in_transit = 0.0


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
    limit_units = full_units(account, state.static_shares.share(now, account))
    demand_units_per_s = account.demand.rate_per_s(now) * account.demand.value
    if account.hard_limit_tokens >= min(limit_units / 2, demand_units_per_s * SHORT_NS / SECOND):
        return []
    # Each request is one message to a peer and causes at most one answer.
    messages_per_s = max(1.0, TRANSFER_PART_OF_MESSAGES * state.settings.peer_messages_per_s)
    state.next_transfer_request_ns = now + int(2 * SECOND / messages_per_s)
    query = state.next_query()
    account.transfer_request = query
    peer = peers[query % len(peers)]
    wanted_units = limit_units - account.hard_limit_tokens
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
    limit_units = full_units(account, state.static_shares.share(now, account))
    account.hard_limit_tokens = min(limit_units, account.hard_limit_tokens + message.units)


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
