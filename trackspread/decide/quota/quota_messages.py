"""Processes messages between gateways about one tenant's quota: requests, answers and transfers."""

from __future__ import annotations

from ..events import PeerMessage
from ..peer_messages import QuotaMessage, QuotaMessageKind, unpack_quota_message
from ..tenant_account import PeerAttempts, TenantAccount
from . import owner_grants, token_bucket
from .account_table import has_room_for
from .accounts import account_of_message
from .capacity import has_capacity
from .hard_limit import grant_transfer, receive_transfer
from .sharing import QuotaSharing
from .state import NO_QUERY, QuotaAnswer
from .usage_totals import detect_restart

TRANSFERS = (QuotaMessageKind.TRANSFER_REQUEST, QuotaMessageKind.TRANSFER)
ANSWERS = (QuotaMessageKind.GRANT, QuotaMessageKind.DENY)


def receive_quota_message(sharing: QuotaSharing, now: int, event: PeerMessage) -> QuotaAnswer:
    """Processes a peer's message.

    Messages that cannot be decoded, or that concern an unknown plan, are ignored.
    """
    message = unpack_quota_message(event.data)
    state = sharing.state
    if message is None or message.plan >= len(state.settings.plans):
        return QuotaAnswer(NO_QUERY, None, [])
    if message.kind in TRANSFERS:
        return _receive_transfer(sharing, now, event.sender, message)
    detect_restart(sharing, now, message.age_tenths_s)
    if message.kind in ANSWERS:
        return _receive_answer(sharing, now, event.sender, message)
    return _receive_request(sharing, now, event.sender, message)


def _receive_transfer(sharing: QuotaSharing, now: int, sender: int, message: QuotaMessage) -> QuotaAnswer:
    """Processes a transfer of a hard limit, or a request for one, between gateways that gossip.

    All others are ignored.
    """
    state = sharing.state
    nothing = QuotaAnswer(NO_QUERY, None, [])
    if not sharing.has_transfers:
        return nothing
    account = state.accounts.get(message.tenant)
    if account is None and state.view is not None and has_room_for(state, now, message.tenant):
        # By the view, this gateway may hold slots of a tenant before any of its requests arrives.
        account = account_of_message(sharing, now, message)
    if account is None or account.plan_index != message.plan:
        return nothing
    if sender not in state.static_shares.peers_of(account):
        return nothing
    token_bucket.refill(sharing, now, account)
    if message.kind == QuotaMessageKind.TRANSFER:
        receive_transfer(state, now, account, message)
        return nothing
    return QuotaAnswer(NO_QUERY, None, grant_transfer(state, now, sender, account, message))


def _receive_answer(sharing: QuotaSharing, now: int, sender: int, message: QuotaMessage) -> QuotaAnswer:
    """Records that an owner granted or denied a request of this gateway."""
    granted = message.kind == QuotaMessageKind.GRANT
    account = sharing.state.accounts.get(message.tenant)
    if account is not None and sharing.has_owned_buckets:
        token_bucket.refill(sharing, now, account)
        sharing.state.record_answer(now, account, message.units, granted)
        account.tokens_reported_by = sender
    return QuotaAnswer(message.query, granted, [])


def _receive_request(sharing: QuotaSharing, now: int, sender: int, message: QuotaMessage) -> QuotaAnswer:
    """Processes a request for units, or a report of units or of an ended attempt, as the owner.

    If this gateway is not the owner, the sender has a different view, and the message is ignored.
    """
    state = sharing.state
    if not has_room_for(state, now, message.tenant):
        return QuotaAnswer(NO_QUERY, None, [])
    account = account_of_message(sharing, now, message)
    if not sharing.is_local(account):
        return QuotaAnswer(NO_QUERY, None, [])
    token_bucket.refill(sharing, now, account)
    if message.kind == QuotaMessageKind.IN_TRANSIT:
        owner_grants.record_units_in_transit(account, now, sender, message.units)
        return QuotaAnswer(NO_QUERY, None, [])
    if message.tokens_reported_by not in (0, state.settings.gateway_index):
        owner_grants.take_over(sharing, now, account, sender, message)
    account.owner_record.is_taking_over = False
    account.last_request_ns = now
    account.peers_in_flight[sender] = PeerAttempts(message.in_flight, now)
    if message.kind == QuotaMessageKind.RELEASED:
        return QuotaAnswer(NO_QUERY, None, [])
    is_request = message.kind == QuotaMessageKind.REQUEST
    pays_overage = account.plan.overage_weight > account.plan.overage_cost
    if is_request and sharing.has_owned_buckets and not pays_overage:
        owner_grants.settle_grants(account, now, sender, message.forwarded_quarter_units)
    granted = _grant(sharing, now, account, message.units, pays_overage)
    if granted:
        account.peers_in_flight[sender] = PeerAttempts(message.in_flight + 1, now)
        owner_grants.record_grant(account, now, sender, message.units)
    if not is_request:
        return QuotaAnswer(NO_QUERY, None, [])
    kind = QuotaMessageKind.GRANT if granted else QuotaMessageKind.DENY
    answer = state.message_to(now, sender, account, kind, account.tokens, message.query)
    return QuotaAnswer(NO_QUERY, None, [answer])


def _grant(sharing: QuotaSharing, now: int, account: TenantAccount, units: float, pays_overage: bool) -> bool:
    """Returns whether the owner spends these units for another gateway."""
    if account.plan.concurrency_limit and not pays_overage and not has_capacity(sharing, now, account, units):
        return False
    return token_bucket.spend(sharing.state, account, units, pays_overage)
