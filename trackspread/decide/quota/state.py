"""What this gateway knows of quotas: accounts, peers, the fleet view, calls to the counter. Decides
nothing."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

from ..decaying_mean import LONG_TERM, DecayingMean
from ..events import FleetChanged
from ..peer_messages import QuotaMessage, QuotaMessageKind, pack_quota_message
from ..rendezvous_hashing import owner_among
from ..actions import Action, SendToPeers
from ..settings import Settings
from ..tenant_account import TenantAccount
from ..time_units import SECOND
from .static_shares import EvenShares, SlotShares, StaticShares

RETURN_WINDOW_NS = 2 * SECOND  # after an outage, until a peer has reported all of its tenants: 22 in a message
REPORTED_TOKENS_NS = 5 * SECOND  # for which an owner's report of its bucket is good for the next owner
QUERY_MASK = 0xFFFFFFFF  # numbers of queries have 32 bits on the wire


class PeerReport(NamedTuple):
    """A peer's last usage totals."""

    incarnation: int
    received_at_ns: int
    age_tenths_s: int  # since the peer's start, as it said


class PeerReturn(NamedTuple):
    """When a peer became responsive again, and how long it was unresponsive before."""

    returned_at_ns: int
    unresponsive_ns: int


class CounterCall(NamedTuple):
    """A call to the shared counter that waits for its answer. `query` is 0 where no request waits for it."""

    query: int
    units: float  # without the correction
    is_correction: bool  # puts the counter right after the bucket was full; no use of quota
    correction_units: float  # of earlier calls, added along with it


class QuotaAnswer(NamedTuple):
    """What a message brought. `query`: the request that it decides, or 0; `granted`: None for no answer."""

    query: int
    granted: bool | None
    actions: list[Action]


NO_QUERY = 0  # in place of the number of a query, where no request waits for an answer


class QuotaState:
    """All that outlives a change of the way in which quotas are shared."""

    def __init__(self, settings: Settings, incarnation: int, now: int, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.incarnation = incarnation
        self.started_at_ns = now
        self.accounts: dict[int, TenantAccount] = {}
        self.reservations: dict[int, tuple[float, float]] = {}  # by tenant: rate per s and burst units on top
        self.grant_ratio_by_plan = [DecayingMean(LONG_TERM) for _ in settings.plans]

        self.peers: dict[int, PeerReport] = {}
        self.returned_peers: dict[int, PeerReturn] = {}
        self.last_return_ns = now - RETURN_WINDOW_NS  # of any peer
        self.gossiped_at_ns = now  # when peers were last sent usage totals
        self.has_restarted = False  # known from a peer that is older than this gateway

        self.view: FleetChanged | None = None
        self.static_shares: StaticShares = EvenShares()
        self.fleet_version = 0  # views with other peers or owners, so far
        self.owners_moved = False  # since the start

        self.counter_calls: dict[int, deque[CounterCall]] = {}  # by name on the counter
        self.counter_call_rate = 1.0  # chance with which a request is counted
        self.last_query = 0
        self.next_transfer_request_ns = now

        self.has_leases = settings.has_leased_quotas
        may_call_counter = not settings.may_gossip and not self.has_leases and settings.gateway_count > 1
        self.uses_counter = settings.has_shared_counter and may_call_counter
        # Set together with the sharing, in `choose_sharing`.
        self.uses_gossip = False
        self.has_owners = False

    @property
    def is_uninformed(self) -> bool:
        """Whether nothing of others is known: no peers (a view brings them), counter, leases or meter."""
        settings = self.settings
        return not (
            settings.may_gossip or self.has_leases or self.uses_counter or settings.metering_period_ns
        )

    def next_query(self) -> int:
        """A new number for a query."""
        self.last_query = self.last_query + 1 & QUERY_MASK
        return self.last_query

    def age_tenths_s(self, now: int) -> int:
        """Since this gateway's start."""
        return (now - self.started_at_ns) * 10 // SECOND

    def slot_shares(self) -> SlotShares | None:
        """The static shares by the fleet view, if there is one."""
        return self.static_shares if isinstance(self.static_shares, SlotShares) else None

    def change_view(self, view: FleetChanged) -> None:
        """Static shares are by this view from now on."""
        self.view = view
        if isinstance(self.static_shares, SlotShares):
            self.static_shares.view = view
        else:
            self.static_shares = SlotShares(view)

    def owner_of(self, account: TenantAccount) -> int:
        """The gateway that owns the tenant's quota where quotas have owners. By a view it is looked up once
        for each version of the fleet; a gateway that becomes owner begins without what it knew as one
        before."""
        if self.view is None or account.owner_of_view == self.fleet_version:
            return account.quota_owner
        account.quota_owner = owner_among(self.view.quota_owners, account.tenant)
        account.owner_of_view = self.fleet_version
        is_owner = account.quota_owner == self.view.own_number
        if is_owner and not account.owner_record.is_owner:
            # Who asks next reports what the former owner had.
            account.forget_owned_state()
            account.owner_record.is_taking_over = True
        account.owner_record.is_owner = is_owner
        return account.quota_owner

    def is_own(self, account: TenantAccount) -> bool:
        """Whether this gateway is the tenant's owner."""
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
        """A message on the tenant's quota to one gateway."""
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
            # Whoever holds slots has to know which of them are the tenant's, a new owner what its bucket had.
            is_recent = now - account.tokens_known_at_ns < REPORTED_TOKENS_NS
            message = message._replace(
                first_gateway=account.gateways.first,
                gateway_span=account.gateways.span,
                tokens=max(0.0, account.tokens),
                tokens_reported_by=account.tokens_reported_by if is_recent else 0,
            )
        return SendToPeers(recipient, pack_quota_message(message))

    def learn_tokens(self, now: int, account: TenantAccount, tokens: float, granted: bool) -> None:
        """Owner or counter answered: so much is in the bucket, and it granted or denied."""
        account.tokens = tokens
        account.tokens_known_at_ns = now
        account.grant_ratio.add(now, float(granted))
        self.grant_ratio_by_plan[account.plan_index].add(now, float(granted))
