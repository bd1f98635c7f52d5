"""Keeps what a tenant's owner records about gateways that query it: their grants and former owners."""

from __future__ import annotations

from ..peer_messages import QuotaMessage, total_growth
from ..tenant_account import QUARTERS_PER_UNIT, TenantAccount, UnitsInTransit, UnsettledGrant
from .freshness import FRESH_NS, UNRESPONSIVE_NS
from .sharing import QuotaSharing
from .state import REPORTED_TOKENS_NS
from .token_bucket import deduct_use_elsewhere


def take_over(
    sharing: QuotaSharing, now: int, account: TenantAccount, sender: int, message: QuotaMessage
) -> None:
    """Adds the bucket of a former owner, which the sender reports, to the bucket here.

    Each former owner is added only once. It kept the bucket for its part of the fleet, and the use by the
    gateways that queried it was already deducted there.
    """
    account.peer_totals.pop(sender, None)
    account.owner_record.queried_at_ns.pop(sender, None)
    account.owner_record.unsettled_grants.pop(sender, None)
    former_owner = message.tokens_reported_by
    taken_over_at_ns = account.owner_record.taken_over_at_ns.get(former_owner, now - REPORTED_TOKENS_NS)
    if now - taken_over_at_ns >= REPORTED_TOKENS_NS:
        own_units = 0.0 if account.owner_record.is_taking_over else account.tokens
        limit = account.plan.burst_units * sharing.local_share(now, account)
        account.tokens = min(limit, own_units + message.tokens)
        account.unresponsive_units = 0.0
    account.owner_record.taken_over_at_ns[former_owner] = now


def record_grant(account: TenantAccount, now: int, sender: int, units: float) -> None:
    """Records units that were granted to the sender, which has not reported their use yet."""
    unsettled = account.owner_record.unsettled_grants.get(sender)
    if unsettled is not None:
        units = unsettled.units + units
    account.owner_record.unsettled_grants[sender] = UnsettledGrant(units, now)


def record_units_in_transit(account: TenantAccount, now: int, sender: int, units: float) -> None:
    """Records the granted units that the sender reports as in transit, in place of its last report."""
    if units:
        account.owner_record.units_in_transit[sender] = UnitsInTransit(units, now)
    else:
        account.owner_record.units_in_transit.pop(sender, None)


def settle_grants(account: TenantAccount, now: int, sender: int, forwarded_quarter_units: int) -> None:
    """Settles the sender's grants by the total that it reports as forwarded so far.

    If an answer was lost, its grant is settled when the sender reports more units. Units used beyond all
    grants, without an answer, are deducted from the bucket. A grant that has not been used for `FRESH_NS` is
    returned to the bucket.
    """
    unsettled = account.owner_record.unsettled_grants.get(sender, UnsettledGrant(0.0, now))
    last_total = account.peer_totals.get(sender, forwarded_quarter_units)
    grown = total_growth(forwarded_quarter_units, last_total)
    if grown is None:
        grown = forwarded_quarter_units
    used_units = grown / QUARTERS_PER_UNIT
    unused_units = max(0.0, unsettled.units - used_units)
    if unused_units and now - unsettled.granted_at_ns > FRESH_NS:
        account.tokens = min(account.plan.burst_units, account.tokens + unused_units)
        unused_units = 0.0
    unresponsive_ns = now - account.owner_record.queried_at_ns.get(sender, now)
    if unresponsive_ns <= UNRESPONSIVE_NS:
        unresponsive_ns = 0  # A short time may be chance if messages get lost.
    deduct_use_elsewhere(account, max(0.0, used_units - unsettled.units), unresponsive_ns)
    account.owner_record.queried_at_ns[sender] = now
    account.peer_totals[sender] = forwarded_quarter_units
    account.owner_record.unsettled_grants[sender] = UnsettledGrant(unused_units, unsettled.granted_at_ns)
