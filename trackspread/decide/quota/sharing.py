"""The interface of the ways in which gateways share a tenant's quota."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..settings import Plan
from ..tenant_account import TenantAccount
from .freshness import FRESH_NS, freshness
from .state import QuotaState


class QuotaSharing(ABC):
    """One way to share. It keeps nothing itself: another may take its place while the gateway runs."""

    has_unresponsive_share = True  # whether what is not this gateway's now may belong to unresponsive peers
    has_static_shares = True  # whether this gateway also has a static share
    # Whether an owner's answers say what is in the bucket, and its grants are settled.
    has_owned_buckets = False
    has_transfers = False  # whether peers transfer parts of hard limits to one another
    static_part_of_hard_limit = 1.0  # the part of a hard limit that is shared out statically

    def __init__(self, state: QuotaState) -> None:
        self.state = state

    def has_owner(self, account: TenantAccount) -> bool:
        """Whether one gateway grants the tenant's requests for all."""
        return False

    @abstractmethod
    def is_local(self, account: TenantAccount) -> bool:
        """Whether this gateway may decide on the tenant's requests alone, from what is in its bucket."""

    @abstractmethod
    def local_share(self, now: int, account: TenantAccount) -> float:
        """Part of the tenant's quota that the bucket here stands for now: this gateway's own, and that of
        others as far as their use is known here."""

    def refill_share(self, now: int, account: TenantAccount) -> float:
        """Part of the quota's rate and burst by which the token bucket here is refilled."""
        return 1.0

    def hard_limit_share(self, account: TenantAccount, refill_share: float, static_share: float) -> float:
        """Part of the hard limit by which its bucket here is refilled."""
        return static_share

    def token_limit(self, account: TenantAccount, share: float) -> float:
        """Units up to which the bucket is filled, with this share of the quota."""
        return account.plan.burst_units * share

    def count_overflow(
        self, account: TenantAccount, share: float, elapsed_s: float, before: float, limit: float
    ) -> None:
        """Count the quota's refill of so many seconds that is not in the bucket here. The bucket had `before`
        units, was filled by `share` of the refill, and holds `limit` units at most."""
        return

    def initial_tokens(self, plan: Plan) -> float:
        """Units in the bucket of a tenant that is new here."""
        return plan.burst_units

    def initial_hard_limit_tokens(self, now: int, account: TenantAccount) -> float:
        """Units in the hard limit's bucket of a tenant that is new here, beside its static share."""
        return 0.0

    def reporting_peers(self, gateway_span: int, first_gateway: int) -> tuple[int, ...]:
        """Of a tenant's gateways, so many in a row from the first on, those whose reports say what they
        used."""
        return ()

    def tokens_at_static_share(self, account: TenantAccount, even_units: float) -> float:
        """Units in the bucket once the tenant's static share is known, which would be `even_units` of it."""
        return account.tokens

    def share_after_restart(self, now: int, account: TenantAccount) -> float:
        """Part of a burst that may be left in the bucket when this gateway learns that it has restarted."""
        return self.state.static_shares.share(now, account) or 1.0

    @abstractmethod
    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """Whether one attempt more is inside the plan's concurrency limit, which the plan must have."""

    @abstractmethod
    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spend units where owner or counter did not answer, or nobody is there to ask; False if denied."""

    def share_by_reports(self, now: int, account: TenantAccount) -> float:
        """This gateway's even share of the quota, and those of others as far as their use is known here: by
        their reports, or by what owner or counter said of the bucket."""
        shares = max(1, account.gateways.share_count)
        never_ns = self.state.started_at_ns - FRESH_NS
        reports = self.state.peers
        reported = [reports[p].received_at_ns if p in reports else never_ns for p in account.gateways.peers]
        if not reported:
            reported = [account.tokens_known_at_ns]
        fresh = sum(freshness(now, at) for at in reported) / len(reported)
        return (1.0 + fresh * (shares - 1)) / shares
