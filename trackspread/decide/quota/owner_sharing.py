"""Shares quotas by owners: rendezvous hashing assigns each tenant one gateway, which keeps its bucket."""

from __future__ import annotations

from ..settings import Plan
from ..tenant_account import TenantAccount
from . import hard_limit
from .concurrency_limit import has_free_shared_attempt, has_free_static_attempt
from .freshness import freshness
from .overdraft import spend_by_grant_ratio
from .sharing import QuotaSharing

# Part of a burst assumed in an unknown bucket, so that the error is bounded alike in both directions.
UNKNOWN_TOKENS_PART = 0.5


class OwnerSharing(QuotaSharing):
    """Shares quotas among gateways that are too many to gossip in time; all ask the tenant's owner."""

    has_owned_buckets = True
    static_part_of_hard_limit = 1.0 - hard_limit.OWNER_PART

    def has_owner(self, account: TenantAccount) -> bool:
        """Returns True, because every tenant has an owner."""
        return True

    def is_local(self, account: TenantAccount) -> bool:
        """Returns True at the owner only."""
        return self.state.is_own(account)

    def local_share(self, now: int, account: TenantAccount) -> float:
        """Returns the part of the quota that the bucket here represents.

        At the owner this is all of it; with a fleet view, only slots that gateways hold are counted. At other
        gateways it is the static share, and the rest is weighted by the freshness of the owner's last answer.
        """
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
        """Returns the local share at the owner, and 1.0 at others, whose bucket is a copy of the owner's."""
        if self.is_local(account) and self.state.view is not None:
            return self.local_share(now, account)
        return 1.0

    def hard_limit_share(self, account: TenantAccount, refill_share: float, static_share: float) -> float:
        """Returns the owner's part at the owner, plus the static share of the rest at every gateway."""
        share = self.static_part_of_hard_limit * static_share
        if self.is_local(account):
            share += hard_limit.OWNER_PART * refill_share
        return share

    def count_overflow(
        self, account: TenantAccount, share: float, elapsed_s: float, before: float, limit: float
    ) -> None:
        """Counts lost refill at every refill.

        Gateways that cannot reach the owner spend from their own buckets, so this refill may have been used.
        """
        account.overflow_units += account.plan.rate_per_s * elapsed_s - (account.tokens - before)

    def initial_tokens(self, plan: Plan) -> float:
        """Returns a burst, or half of it if another owner or an earlier process may have granted from it."""
        is_unknown = self.state.has_restarted or self.state.owners_moved
        return plan.burst_units * (UNKNOWN_TOKENS_PART if is_unknown else 1.0)

    def initial_hard_limit_tokens(self, now: int, account: TenantAccount) -> float:
        """Returns the units in the hard limit's bucket of a new tenant: 0.0 unless this gateway is its owner.

        The owner gets its part of the slack, plus the units that the previous owner (another gateway or an
        earlier process here) certainly left unspent of its part. Both are multiplied by the local share.
        """
        if not self.is_local(account):
            return 0.0
        plan = account.plan
        units = plan.hard_limit_slack_units * hard_limit.OWNER_PART + hard_limit.unspent_units(plan)
        return units * self.local_share(now, account)

    def share_after_restart(self, now: int, account: TenantAccount) -> float:
        """Returns half of a burst, because nothing is known of the bucket."""
        return UNKNOWN_TOKENS_PART

    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """Returns whether one more attempt is free.

        The owner decides this by the reports of other gateways, and these decide by their static shares.
        """
        if self.is_local(account):
            return has_free_shared_attempt(self, now, account)
        return has_free_static_attempt(self.state, now, account)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spends according to the owner's recent answers."""
        return spend_by_grant_ratio(self, now, account, units)
