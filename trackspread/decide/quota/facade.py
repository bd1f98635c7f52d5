"""Provides quotas to a broker: limits over all gateways, however the gateways share them."""

from __future__ import annotations

import random

from ..actions import Action
from ..events import AllocationChanged, CounterAnswered, FleetChanged, PeerMessage, PlansChanged
from ..open_request import OpenRequest
from ..peer_messages import QuotaMessageKind
from ..settings import Plan, Settings
from ..tenant_account import TenantAccount
from . import (
    account_table,
    accounts,
    capacity,
    counter_calls,
    hard_limit,
    quota_messages,
    token_bucket,
    usage_totals,
)
from .fleet_changes import change_fleet, choose_sharing, gossip_interval_ns
from .granted_requests import GrantedRequests
from .state import NO_QUERY, QuotaAnswer, QuotaState

INCARNATION_MASK = 0xFFFF  # incarnations have 16 bits in messages


class Quota(QuotaState):
    """Holds the token buckets, hard limits and concurrency limits of all tenants.

    All times are of one clock, in ns.
    """

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        super().__init__(settings, seed & INCARNATION_MASK, now, rng)
        self.sharing = choose_sharing(self)
        self.granted_requests = GrantedRequests(settings.peer_messages_per_s)

    @property
    def gossip_interval_ns(self) -> float:
        """Returns the interval of this gateway's reports to all others."""
        return gossip_interval_ns(self.settings)

    def account(
        self, now: int, tenant: int, plan_index: int, gateway_span: int = 0, first_gateway: int = 0
    ) -> TenantAccount:
        """Returns the tenant's account; creates it if there is none.

        Applies the plan if it has changed, and assigns the static share with the first request that names the
        tenant's gateways. The span is 0 if no request has arrived here.
        """
        return accounts.account_of(self.sharing, now, tenant, plan_index, gateway_span, first_gateway)

    def has_room_for(self, now: int, tenant: int) -> bool:
        """Returns whether the tenant has an account or may get one, if need be in place of another's."""
        return account_table.has_room_for(self, now, tenant)

    def plan_of(self, tenant: int, plan_index: int) -> Plan:
        """Returns the plan's limits with the tenant's reservations added."""
        return accounts.plan_of(self, tenant, plan_index)

    def change_plan(self, now: int, account: TenantAccount, plan_index: int) -> None:
        """Applies another plan, or other limits of the same plan, to the tenant's account."""
        accounts.change_plan(self.sharing, now, account, plan_index)

    def change_plans(self, now: int, event: PlansChanged) -> None:
        """Applies other limits of plans and other reservations."""
        accounts.change_plans(self.sharing, now, event)

    def change_allocation(self, now: int, event: AllocationChanged) -> None:
        """Applies the parts of a tenant's limits that the host now leases to this gateway."""
        accounts.change_allocation(self.sharing, now, event)

    def change_fleet(self, now: int, event: FleetChanged) -> None:
        """Applies the fleet as the host now sees it."""
        self.sharing = change_fleet(self.sharing, now, event)

    def has_owner(self, account: TenantAccount) -> bool:
        """Returns whether one gateway grants the tenant's requests for all gateways."""
        return self.sharing.has_owner(account)

    def has_remote_owner(self, account: TenantAccount) -> bool:
        """Returns whether another gateway, the owner, grants the tenant's requests."""
        return self.has_owner(account) and not self.is_local(account)

    def is_local(self, account: TenantAccount) -> bool:
        """Returns whether this gateway decides on the tenant's requests alone."""
        return self.sharing.is_local(account)

    def local_share(self, now: int, account: TenantAccount) -> float:
        """Returns the part of the tenant's quota that the bucket here represents now.

        It consists of this gateway's own part, and of those of others as far as their use is known here.
        """
        return self.sharing.local_share(now, account)

    def is_known_spent(self, account: TenantAccount, units: float) -> bool:
        """Returns whether the owner's bucket certainly has less than these units.

        This follows from the owner's last answer and the refill since, because other gateways can only have
        used more. Skipping the query protects an owner whose tenant requests more than the owner can answer.
        """
        is_known = self.sharing.has_owned_buckets and account.plan.rate_per_s > 0.0
        if not is_known or account.tokens_known_at_ns <= self.started_at_ns:
            return False
        return account.tokens + hard_limit.UNIT_STEP / 2 < units

    def refill(self, now: int, account: TenantAccount) -> None:
        """Refills all buckets of the account up to `now`."""
        token_bucket.refill(self.sharing, now, account)

    def has_capacity(self, now: int, account: TenantAccount, units: float) -> bool:
        """Returns whether concurrency limit and hard limit allow this many more units here."""
        return capacity.has_capacity(self.sharing, now, account, units)

    def exceeded_limit(self, now: int, account: TenantAccount, units: float) -> str:
        """Returns the limit that rejects this many units here, for operators."""
        return capacity.exceeded_limit(self.sharing, now, account, units)

    def spend(self, account: TenantAccount, units: float, pays_overage: bool) -> bool:
        """Takes units out of the buckets here; returns False if they do not have them.

        `pays_overage` allows units beyond the quota.
        """
        return token_bucket.spend(self, account, units, pays_overage)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spends units although no answer arrived; returns False if denied."""
        return self.sharing.spend_without_answer(now, account, units)

    def request_started(self, now: int, request: OpenRequest, units: float) -> None:
        """Notes that units of the hard limit are on their way to a backend.

        `units` were taken out of the bucket here; if none were, the tenant's owner has granted the request.
        """
        account = request.account
        if not account.plan.hard_limit_per_s:
            return
        if units <= 0.0 and self.has_remote_owner(account):
            self.granted_requests.start(now, request)
        else:
            hard_limit.request_started(request, units)

    def request_arrived(self, now: int, request: OpenRequest) -> None:
        """Notes that a request has arrived at a backend, or will not any more."""
        hard_limit.request_arrived(now, request)
        self.granted_requests.arrive(request)

    def report_late_units(self, now: int) -> list[Action]:
        """Returns the reports to owners of granted units whose requests take long to arrive."""
        kind = QuotaMessageKind.IN_TRANSIT
        return [
            self.message_to(now, self.owner_of(late.account), late.account, kind, late.units, NO_QUERY)
            for late in self.granted_requests.due_reports(now)
            if not self.is_local(late.account)
        ]

    def count_attempts(self, account: TenantAccount, more: int) -> None:
        """Changes the number of the tenant's attempts in flight."""
        account.in_flight += more
        if account.plan.concurrency_limit:
            self.announcements.change(account)

    def query(
        self, now: int, account: TenantAccount, units: float, kind: QuotaMessageKind
    ) -> tuple[int, Action]:
        """Asks the owner or the counter for units, or reports them as spent.

        Returns the query's number and the action that sends it.
        """
        query = self.next_query()
        is_request = kind == QuotaMessageKind.REQUEST
        if self.sharing.has_owner(account):
            action = self.message_to(now, self.owner_of(account), account, kind, units, query)
            if is_request:
                account.pending_queries += 1
            return query, action
        # While only some requests are counted, each of them also counts for those that are not.
        counted_units = units / self.counter_call_rate + self.counter_weight(account)
        return query, self.call_counter(now, account, counted_units, query if is_request else NO_QUERY)

    def release(self, now: int, account: TenantAccount) -> list[Action]:
        """Returns the actions that report the end of a request's last attempt to the owner or the counter."""
        if attempt_units := self.counter_weight(account):
            return [self.call_counter(now, account, -attempt_units)]
        if not account.plan.concurrency_limit or not self.has_remote_owner(account):
            return []
        owner = self.owner_of(account)
        return [self.message_to(now, owner, account, QuotaMessageKind.RELEASED, 0.0, NO_QUERY)]

    def call_counter(self, now: int, account: TenantAccount, amount: float, query: int = NO_QUERY) -> Action:
        """Adds an amount to the tenant's number on the counter."""
        return counter_calls.call_counter(self, now, account, amount, query)

    def counter_weight(self, account: TenantAccount) -> float:
        """Returns what an attempt in flight adds to the tenant's number on the counter."""
        return counter_calls.units_of_attempt(self, account)

    def receive_counter_answer(self, now: int, event: CounterAnswered) -> QuotaAnswer:
        """Processes an answer of the counter."""
        return counter_calls.receive_counter_answer(self.sharing, now, event)

    def receive_quota_message(self, now: int, event: PeerMessage) -> QuotaAnswer:
        """Processes a peer's message about one tenant's quota."""
        return quota_messages.receive_quota_message(self.sharing, now, event)

    def request_transfer(self, now: int, account: TenantAccount) -> list[Action]:
        """Asks a peer for a part of its hard limit if the one here runs low."""
        return hard_limit.request_transfer(self, now, account) if self.sharing.has_transfers else []

    def usage_message(self, now: int) -> bytes:
        """Returns the next report to all peers, and counts its contents as announced once more."""
        return usage_totals.usage_message(self, now)

    def receive_usage_totals(self, now: int, event: PeerMessage) -> None:
        """Processes a peer's usage totals."""
        usage_totals.receive_usage_totals(self.sharing, now, event)
