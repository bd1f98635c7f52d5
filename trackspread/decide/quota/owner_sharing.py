"""One owner for each tenant, by rendezvous hashing: it keeps the bucket and grants what others ask for."""

from __future__ import annotations

from ..settings import Plan
from ..tenant_account import TenantAccount
from . import hard_limit
from .concurrency_limit import has_free_shared_attempt, has_free_static_attempt
from .freshness import freshness
from .overdraft import spend_by_grant_ratio
from .sharing import QuotaSharing

UNKNOWN_TOKENS_PART = 0.5  # of a burst, where an owner does not know its bucket: errs as little either way


class OwnerSharing(QuotaSharing):
    """Gateways are too many for gossip in time: all ask the tenant's owner."""

    has_owned_buckets = True
    static_part_of_hard_limit = 1.0 - hard_limit.OWNER_PART

    def has_owner(self, account: TenantAccount) -> bool:
        """Every tenant has one."""
        return True

    def is_local(self, account: TenantAccount) -> bool:
        """At the owner alone."""
        return self.state.is_own(account)

    def local_share(self, now: int, account: TenantAccount) -> float:
        """All at the owner, by a view as far as gateways hold slots; elsewhere the static share, and
        the rest as far as the owner's last answer is fresh."""
        slots = self.state.slot_shares()
        if slots is not None:
            own_share = slots.share(now, account)
            part = 1.0 if self.is_local(account) else freshness(now, account.tokens_known_at_ns)
            peer_slots = slots.all_peer_slots() & ~slots.own_slots(now)
            return min(1.0, own_share + part * slots.share_of_slots(account, peer_slots))
        if self.is_local(account):
            return 1.0
        return self.share_by_reports(now, account)

    def refill_share(self, now: int, account: TenantAccount) -> float:
        """At the owner that which counts as here; elsewhere all, as the bucket is the owner's."""
        if self.is_local(account) and self.state.view is not None:
            return self.local_share(now, account)
        return 1.0

    def hard_limit_share(self, account: TenantAccount, refill_share: float, static_share: float) -> float:
        """The owner's part at the owner, and of the rest the static share everywhere."""
        share = self.static_part_of_hard_limit * static_share
        if self.is_local(account):
            share += hard_limit.OWNER_PART * refill_share
        return share

    def count_overflow(
        self, account: TenantAccount, share: float, elapsed_s: float, before: float, limit: float
    ) -> None:
        """Counted at every refill: gateways that cannot reach the owner use what they have."""
        account.overflow_units += account.plan.rate_per_s * elapsed_s - (account.tokens - before)

    def initial_tokens(self, plan: Plan) -> float:
        """A burst, or half of it where another owner or an earlier start may have granted of it."""
        is_unknown = self.state.has_restarted or self.state.owners_moved
        return plan.burst_units * (UNKNOWN_TOKENS_PART if is_unknown else 1.0)

    def initial_hard_limit_tokens(self, now: int, account: TenantAccount) -> float:
        """At the owner its part of the slack, and what a predecessor surely left of its part."""
        if not self.is_local(account):
            return 0.0
        plan = account.plan
        units = plan.hard_limit_slack_units * hard_limit.OWNER_PART + hard_limit.unspent_units(plan)
        return units * self.local_share(now, account)

    def share_after_restart(self, now: int, account: TenantAccount) -> float:
        """Half of a burst: nothing is known of the bucket."""
        return UNKNOWN_TOKENS_PART

    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """By what others reported at the owner; elsewhere by the static share."""
        if self.is_local(account):
            return has_free_shared_attempt(self, now, account)
        return has_free_static_attempt(self.state, now, account)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """By what the owner lately answered."""
        return spend_by_grant_ratio(self, now, account, units)
