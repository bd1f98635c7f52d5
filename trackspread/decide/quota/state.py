"""Holds what this gateway knows of quotas: accounts, peers, the fleet view and calls to the counter.

This module contains no decisions.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from ..decaying_mean import LONG_TERM, DecayingMean
from ..events import FleetChanged
from ..peer_messages import QuotaMessage, QuotaMessageKind, pack_quota_message
from ..rendezvous_hashing import owner_among
from ..actions import Action, SendToPeers
from ..settings import Settings
from ..tenant_account import TenantAccount
from ..time_units import SECOND
from .announcements import Announcements
from .static_shares import EvenShares, SlotShares, StaticShares

# Time after an outage in which a peer reports all of its tenants; a message holds 22 of them.
RETURN_WINDOW_NS = 2 * SECOND
REPORTED_TOKENS_NS = 5 * SECOND  # how long an owner's report of its bucket is used by the next owner
QUERY_MASK = 0xFFFFFFFF  # query numbers have 32 bits in messages


class PeerReport(NamedTuple):
    """Describes the last usage totals of a peer."""

    incarnation: int
    received_at_ns: int
    age_tenths_s: int  # time since the peer's start, as reported by the peer


class PeerReturn(NamedTuple):
    """Holds when a peer became responsive again, and for how long it had been unresponsive."""

    returned_at_ns: int
    unresponsive_ns: int


class CounterCall(NamedTuple):
    """Holds an unanswered call to the shared counter; `query` is 0 if no request waits for it."""

    query: int
    units: float  # without the correction
    is_correction: bool  # corrects the counter after the bucket was full; uses no quota
    correction_units: float  # of earlier calls, added together with these units


class QuotaAnswer(NamedTuple):
    """Holds the result of a message.

    `query` identifies the request that it decides, or is 0. `granted` is None if there is no answer.
    """

    query: int
    granted: bool | None
    actions: list[Action]


NO_QUERY = 0  # replaces the number of a query if no request waits for an answer


class QuotaState:
    """Holds all state that outlives a change of the way in which quotas are shared."""

    def __init__(self, settings: Settings, incarnation: int, now: int, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.incarnation = incarnation
        self.started_at_ns = now
        self.accounts: dict[int, TenantAccount] = {}
        self.on_account_removed: list[Callable[[int], None]] = []  # called with the tenant
        self._removal_candidates: list[int] = []  # tenants; the next one to be checked is the last
        self.announcements = Announcements()
        self.reservations: dict[int, tuple[float, float]] = {}  # rate per s and burst units, by tenant
        self.grant_ratio_by_plan = [DecayingMean(LONG_TERM) for _ in settings.plans]

        self.peers: dict[int, PeerReport] = {}
        self.returned_peers: dict[int, PeerReturn] = {}
        self.last_return_ns = now - RETURN_WINDOW_NS  # last return of any peer
        self.gossiped_at_ns = now  # when usage totals were last sent to peers
        self.has_restarted = False  # set when a peer turns out to be older than this gateway

        self.view: FleetChanged | None = None
        self.static_shares: StaticShares = EvenShares()
        self.fleet_version = 0  # number of views so far that had other peers or owners
        self.owners_moved = False  # whether owners have changed since this gateway's start

        self.counter_calls: dict[int, deque[CounterCall]] = {}  # by name on the counter
        self.counter_call_rate = 1.0  # probability that a request is counted
        self.last_query = 0
        self.next_transfer_request_ns = now

        self.has_leases = settings.has_leased_quotas
        may_call_counter = not settings.may_gossip and not self.has_leases and settings.gateway_count > 1
        self.uses_counter = settings.has_shared_counter and may_call_counter
        # These are set together with the sharing, in `choose_sharing`.
        self.uses_gossip = False
        self.has_owners = False

    @property
    def is_uninformed(self) -> bool:
        """Returns whether this gateway receives no usage information about other gateways.

        This is the case without peers (which a view adds), counter, leases and meter.
        """
        settings = self.settings
        return not (
            settings.may_gossip or self.has_leases or self.uses_counter or settings.metering_period_ns
        )

    def forget_account(self, tenant: int) -> None:
        """Removes a tenant's account, and the commitments that refer to it."""
        self.accounts.pop(tenant, None)
        self.announcements.forget(tenant)
        for removed in self.on_account_removed:
            removed(tenant)

    def next_removal_candidate(self) -> int:
        """Returns the next tenant in turn, from the account that was created first; there must be one."""
        if not self._removal_candidates:
            self._removal_candidates = list(reversed(self.accounts))
        return self._removal_candidates.pop()

    def next_query(self) -> int:
        """Returns a new query number."""
        self.last_query = self.last_query + 1 & QUERY_MASK
        return self.last_query

    def age_tenths_s(self, now: int) -> int:
        """Returns the time since this gateway's start, in tenths of a second."""
        return (now - self.started_at_ns) * 10 // SECOND

    def slot_shares(self) -> SlotShares | None:
        """Returns the static shares by the fleet view, or None without a view."""
        return self.static_shares if isinstance(self.static_shares, SlotShares) else None

    def change_view(self, view: FleetChanged) -> None:
        """Bases static shares on this view from now on."""
        self.view = view
        if isinstance(self.static_shares, SlotShares):
            self.static_shares.view = view
        else:
            self.static_shares = SlotShares(view)

    def owner_of(self, account: TenantAccount) -> int:
        """Returns the gateway that owns the tenant's quota, where quotas have owners.

        With a view, the owner is looked up once for each version of the fleet. A gateway that becomes the
        owner drops what it recorded when it was the owner before.
        """
        if self.view is None or account.owner_of_view == self.fleet_version:
            return account.quota_owner
        account.quota_owner = owner_among(self.view.quota_owners, account.tenant)
        account.owner_of_view = self.fleet_version
        is_owner = account.quota_owner == self.view.own_number
        if is_owner and not account.owner_record.is_owner:
            # The next gateway that sends a query reports the former owner's balance.
            account.forget_owned_state()
            account.owner_record.is_taking_over = True
        account.owner_record.is_owner = is_owner
        return account.quota_owner

    def is_own(self, account: TenantAccount) -> bool:
        """Returns whether this gateway is the tenant's owner."""
        return self.owner_of(account) == self.settings.gateway_index

    def message_to(
        self,
        now: int,
        recipient: int,
        account: TenantAccount,
        kind: QuotaMessageKind,
        units: float,
        query: int,
    ) -> Action:
        """Returns the action that sends a message about the tenant's quota to one gateway."""
        in_flight = 0
        if account.plan.concurrency_limit > 0:
            in_flight = account.in_flight + account.pending_queries
        message = QuotaMessage(
            kind,
            account.tenant,
            account.plan_index,
            units,
            query,
            self.age_tenths_s(now),
            account.forwarded_quarter_units,
            in_flight=in_flight,
        )
        if self.view is not None:
            # Gateways that hold slots need to know which of them are the tenant's, and a new owner needs the
            # balance.
            is_recent = now - account.tokens_known_at_ns < REPORTED_TOKENS_NS
            message = message._replace(
                first_gateway=account.gateways.first,
                gateway_span=account.gateways.span,
                tokens=max(0.0, account.tokens),
                tokens_reported_by=account.tokens_reported_by if is_recent else 0,
            )
        return SendToPeers(recipient, pack_quota_message(message))

    def record_answer(self, now: int, account: TenantAccount, tokens: float, granted: bool) -> None:
        """Records an answer of the owner or the counter: the balance of the bucket and whether it granted."""
        account.tokens = tokens
        account.tokens_known_at_ns = now
        account.grant_ratio.add(now, float(granted))
        self.grant_ratio_by_plan[account.plan_index].add(now, float(granted))
