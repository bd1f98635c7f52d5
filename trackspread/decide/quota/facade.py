"""Quotas as a broker sees them: over all gateways together, however they are shared."""

from __future__ import annotations

import random

from ..actions import Action
from ..events import AllocationChanged, CounterAnswered, FleetChanged, PeerMessage, PlansChanged
from ..peer_messages import QuotaMessageKind
from ..settings import Plan, Settings
from ..tenant_account import TenantAccount
from . import accounts, capacity, counter_calls, hard_limit, quota_messages, token_bucket, usage_totals
from .fleet_changes import change_fleet, choose_sharing, gossip_interval_ns
from .state import NO_QUERY, QuotaAnswer, QuotaState

INCARNATION_MASK = 0xFFFF  # incarnations have 16 bits on the wire


class Quota(QuotaState):
    """Token buckets, hard limits and concurrency limits of all tenants. All instants are of one clock, in
    ns."""

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        super().__init__(settings, seed & INCARNATION_MASK, now, rng)
        self.sharing = choose_sharing(self)

    @property
    def gossip_interval_ns(self) -> float:
        """Between two of this gateway's reports to all others, where it gossips."""
        return gossip_interval_ns(self.settings)

    # Accounts, and what changes their figures.

    def account(
        self, now: int, tenant: int, plan_index: int, gateway_span: int = 0, first_gateway: int = 0
    ) -> TenantAccount:
        """The tenant's account; made where there is none. Takes up another plan, and the static share with
        the first request that says which gateways are the tenant's; the span is 0 when no request came
        here."""
        return accounts.account_of(self.sharing, now, tenant, plan_index, gateway_span, first_gateway)

    def plan_of(self, tenant: int, plan_index: int) -> Plan:
        """The plan's figures with what the tenant has reserved on top."""
        return accounts.plan_of(self, tenant, plan_index)

    def change_plan(self, now: int, account: TenantAccount, plan_index: int) -> None:
        """The tenant has another plan, or the same with other figures."""
        accounts.change_plan(self.sharing, now, account, plan_index)

    def change_plans(self, now: int, event: PlansChanged) -> None:
        """Plans and reservations have other figures."""
        accounts.change_plans(self.sharing, now, event)

    def change_allocation(self, now: int, event: AllocationChanged) -> None:
        """The host leases other parts of a tenant's limits to this gateway."""
        accounts.change_allocation(self.sharing, now, event)

    def change_fleet(self, now: int, event: FleetChanged) -> None:
        """The host sees another fleet."""
        self.sharing = change_fleet(self.sharing, now, event)

    # Who decides.

    def has_owner(self, account: TenantAccount) -> bool:
        """Whether one gateway grants the tenant's requests for all."""
        return self.sharing.has_owner(account)

    def is_local(self, account: TenantAccount) -> bool:
        """Whether this gateway decides on the tenant's requests alone."""
        return self.sharing.is_local(account)

    def local_share(self, now: int, account: TenantAccount) -> float:
        """Part of the tenant's quota that the bucket here stands for now: this gateway's own, and that of
        others as far as their use is known here."""
        return self.sharing.local_share(now, account)

    def is_known_spent(self, account: TenantAccount, units: float) -> bool:
        """Whether by the owner's last answer, and the refill since, its bucket has less than these units:
        others can only have used more. Not to ask spares an owner whose tenant asks for more than it can
        answer."""
        is_known = self.sharing.has_owned_buckets and account.plan.rate_per_s > 0.0
        if not is_known or account.tokens_known_at_ns <= self.started_at_ns:
            return False
        return account.tokens + hard_limit.UNIT_STEP / 2 < units

    # Decisions on requests.

    def refill(self, now: int, account: TenantAccount) -> None:
        """Bring all buckets of the account up to now."""
        token_bucket.refill(self.sharing, now, account)

    def has_capacity(self, now: int, account: TenantAccount, units: float) -> bool:
        """Whether concurrency limit and hard limit allow so many units more here."""
        return capacity.has_capacity(self.sharing, now, account, units)

    def exceeded_limit(self, now: int, account: TenantAccount, units: float) -> str:
        """Which limit rejects so many units here, for operators."""
        return capacity.exceeded_limit(self.sharing, now, account, units)

    def spend(self, account: TenantAccount, units: float, pays_overage: bool) -> bool:
        """Take units out of the buckets here; False where they are not there. `pays_overage`: beyond the
        quota, too."""
        return token_bucket.spend(account, units, pays_overage)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spend units where nobody answered; False if denied."""
        return self.sharing.spend_without_answer(now, account, units)

    def count_attempts(self, account: TenantAccount, more: int) -> None:
        """So many attempts more of the tenant's are in flight; below 0 some are over."""
        account.in_flight += more
        if account.plan.concurrency_limit:
            account.announcements_due = token_bucket.ANNOUNCEMENTS

    # Owners, the shared counter and peers.

    def query(
        self, now: int, account: TenantAccount, units: float, kind: QuotaMessageKind
    ) -> tuple[int, Action]:
        """Ask owner or counter for units, or report them as spent: the query's number, and what to send."""
        query = self.next_query()
        is_request = kind == QuotaMessageKind.REQUEST
        if self.sharing.has_owner(account):
            action = self.message_to(now, self.owner_of(account), account, kind, units, query)
            if is_request:
                account.pending_queries += 1
            return query, action
        # While not all requests are counted, each that is stands for those that are not.
        counted_units = units / self.counter_call_rate + self.counter_weight(account)
        return query, self.call_counter(now, account, counted_units, query if is_request else NO_QUERY)

    def release(self, now: int, account: TenantAccount) -> list[Action]:
        """What to send when no attempt is left of a request that owner or counter counts as in flight."""
        if attempt_units := self.counter_weight(account):
            return [self.call_counter(now, account, -attempt_units)]
        if not account.plan.concurrency_limit or not self.has_owner(account) or self.is_local(account):
            return []
        owner = self.owner_of(account)
        return [self.message_to(now, owner, account, QuotaMessageKind.RELEASED, 0.0, NO_QUERY)]

    def call_counter(self, now: int, account: TenantAccount, amount: float, query: int = NO_QUERY) -> Action:
        """Add an amount to the tenant's number on the counter."""
        return counter_calls.call_counter(self, now, account, amount, query)

    def counter_weight(self, account: TenantAccount) -> float:
        """What an attempt in flight adds to the tenant's number on the counter."""
        return counter_calls.units_of_attempt(self, account)

    def receive_counter_answer(self, now: int, event: CounterAnswered) -> QuotaAnswer:
        """The counter answered."""
        return counter_calls.receive_counter_answer(self.sharing, now, event)

    def receive_quota_message(self, now: int, event: PeerMessage) -> QuotaAnswer:
        """A peer's message on one tenant's quota."""
        return quota_messages.receive_quota_message(self.sharing, now, event)

    def request_transfer(self, now: int, account: TenantAccount) -> list[Action]:
        """Ask a peer for some of its part of a hard limit that runs short here."""
        return hard_limit.request_transfer(self, now, account) if self.sharing.has_transfers else []

    def usage_message(self, now: int) -> bytes:
        """The next report to all peers; what is in it counts as announced once more."""
        return usage_totals.usage_message(self, now)

    def receive_usage_totals(self, now: int, event: PeerMessage) -> None:
        """A peer's report."""
        usage_totals.receive_usage_totals(self.sharing, now, event)
