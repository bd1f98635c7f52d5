"""Implements gossip of usage totals: this gateway's reports of its tenants, and those of peers."""

from __future__ import annotations

from ..events import PeerMessage
from ..peer_messages import (
    MAX_TOTALS,
    UsageTotal,
    UsageTotals,
    pack_usage_totals,
    total_growth,
    unpack_usage_totals,
)
from ..tenant_account import QUARTERS_PER_UNIT, PeerAttempts, TenantAccount
from ..time_units import SECOND
from . import token_bucket
from .freshness import FRESH_NS
from .sharing import QuotaSharing
from .state import RETURN_WINDOW_NS, PeerReport, PeerReturn, QuotaState

MAX_REORDERING_TENTHS_S = 50  # A message can be overtaken by another that was sent at most this much later.
# Number of peers whose last report is kept; beyond it, the one that reported longest ago is dropped.
MAX_PEERS = 512
NEVER_REPORTED = PeerReport(-1, 0, 0)
NOT_RETURNED = PeerReturn(0, 0)


def usage_message(state: QuotaState, now: int) -> bytes:
    """Returns a message with the running totals of the tenants that were reported least often.

    As the totals are cumulative, a lost message has no effect once the next one arrives.
    """
    announced = state.announcements.take(MAX_TOTALS, state.view is not None)
    totals = [UsageTotal(a.tenant, a.forwarded_quarter_units, a.in_flight) for a in announced]
    return pack_usage_totals(state.incarnation, state.age_tenths_s(now), totals)


def detect_restart(sharing: QuotaSharing, now: int, age_tenths_s: int) -> bool:
    """Detects from a peer's age that this gateway has restarted; returns whether the peer is older.

    After a restart the buckets must not start full, so they are cut once.
    """
    state = sharing.state
    is_older = age_tenths_s * SECOND // 10 > now - state.started_at_ns + SECOND
    if is_older and not state.has_restarted:
        state.has_restarted = True
        for account in state.accounts.values():
            share = sharing.share_after_restart(now, account)
            account.tokens = min(account.tokens, account.plan.burst_units * share)
    return is_older


def receive_usage_totals(sharing: QuotaSharing, now: int, event: PeerMessage) -> None:
    """Processes a peer's usage totals.

    Messages that cannot be decoded, or were overtaken by a later one, are ignored.
    """
    state = sharing.state
    message = unpack_usage_totals(event.data)
    if message is None:
        return
    last = state.peers.get(event.sender, NEVER_REPORTED)
    is_same_incarnation = last.incarnation == message.incarnation
    if is_same_incarnation and 0 < last.age_tenths_s - message.age_tenths_s <= MAX_REORDERING_TENTHS_S:
        return
    if is_same_incarnation and now - last.received_at_ns > FRESH_NS:
        state.returned_peers[event.sender] = PeerReturn(now, now - last.received_at_ns)
        state.last_return_ns = now
    returned = state.returned_peers.get(event.sender, NOT_RETURNED)
    unresponsive_ns = returned.unresponsive_ns if now - returned.returned_at_ns < RETURN_WINDOW_NS else 0
    _record_report(state, now, event.sender, message)
    if not is_same_incarnation:
        _forget_totals(state, event.sender)
    is_older = detect_restart(sharing, now, message.age_tenths_s)
    for total in message.totals:
        account = state.accounts.get(total.tenant)
        if account is None:
            continue
        _record_attempts(sharing, now, account, event.sender, total.in_flight)
        token_bucket.refill(sharing, now, account)
        last_total = account.peer_totals.get(event.sender) if is_same_incarnation else None
        units = _used_units(account, total.forwarded_quarter_units, last_total, is_older)
        token_bucket.deduct_use_elsewhere(account, units, unresponsive_ns)
        account.peer_totals[event.sender] = total.forwarded_quarter_units


def _record_report(state: QuotaState, now: int, sender: int, message: UsageTotals) -> None:
    state.peers[sender] = PeerReport(message.incarnation, now, message.age_tenths_s)
    if len(state.peers) > MAX_PEERS:
        oldest = min(state.peers, key=lambda peer: state.peers[peer].received_at_ns)
        del state.peers[oldest]
        state.returned_peers.pop(oldest, None)


def _forget_totals(state: QuotaState, sender: int) -> None:
    """Drops a restarted peer's totals, which start at 0 again whenever it first reports a tenant."""
    for account in state.accounts.values():
        account.peer_totals.pop(sender, None)
        account.peers_in_flight.pop(sender, None)


def _record_attempts(
    sharing: QuotaSharing, now: int, account: TenantAccount, sender: int, in_flight: int
) -> None:
    """Records the attempts in flight that a peer reports.

    An owner knows from requests what it granted; only totals report attempts that were started without its
    answer.
    """
    known = account.peers_in_flight.get(sender)
    known_attempts = 0 if known is None else known.attempts
    if not sharing.is_local(account) or in_flight > known_attempts:
        account.peers_in_flight[sender] = PeerAttempts(in_flight, now)


def _used_units(account: TenantAccount, total: int, last_total: int | None, is_older: bool) -> float:
    """Returns the units that a peer used since its last report.

    If its total is new here, at most a burst of it can be recent. If the peer is also older than this
    gateway, the result is 0.0, because the bucket here then started with less.
    """
    grown = None if last_total is None else total_growth(total, last_total)
    if grown is not None:
        return grown / QUARTERS_PER_UNIT
    return 0.0 if is_older else min(total / QUARTERS_PER_UNIT, account.plan.burst_units)
