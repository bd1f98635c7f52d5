"""Defines the interface of the ways in which gateways share a tenant's quota."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..settings import Plan
from ..tenant_account import TenantAccount
from .freshness import FRESH_NS, freshness
from .state import QuotaState


class QuotaSharing(ABC):
    """Defines one way of sharing quotas.

    It has no state of its own, because it may be replaced by another while the gateway runs.
    """

    has_unresponsive_share = True  # whether the rest of a quota may belong to unresponsive peers
    has_static_shares = True  # whether this gateway also has a static share
    # Whether an owner's answers report the balance of the bucket, and its grants are settled.
    has_owned_buckets = False
    has_transfers = False  # whether peers transfer parts of hard limits to each other
    static_part_of_hard_limit = 1.0  # part of a hard limit that is divided into static shares

    def __init__(self, state: QuotaState) -> None:
        self.state = state

    def has_owner(self, account: TenantAccount) -> bool:
        """Returns whether one gateway grants the tenant's requests for all gateways."""
        return False

    @abstractmethod
    def is_local(self, account: TenantAccount) -> bool:
        """Returns whether this gateway may decide on the tenant's requests alone, from its own bucket."""

    @abstractmethod
    def local_share(self, now: int, account: TenantAccount) -> float:
        """Returns the part of the tenant's quota that the bucket here represents now.

        It consists of this gateway's own part, and of those of others as far as their use is known here.
        """

    def refill_share(self, now: int, account: TenantAccount) -> float:
        """Returns the part of the quota's rate and burst by which the token bucket here is refilled."""
        return 1.0

    def hard_limit_share(self, account: TenantAccount, refill_share: float, static_share: float) -> float:
        """Returns the part of the hard limit by which its bucket here is refilled."""
        return static_share

    def token_limit(self, account: TenantAccount, share: float) -> float:
        """Returns the units up to which the bucket is filled with this share of the quota."""
        return account.plan.burst_units * share

    def count_overflow(
        self, account: TenantAccount, share: float, elapsed_s: float, before: float, limit: float
    ) -> None:
        """Counts refill of the quota that was not added to the bucket here.

        The refill is that of `elapsed_s` seconds. The bucket had `before` units, got `share` of the refill,
        and holds at most `limit` units.
        """
        return

    def initial_tokens(self, plan: Plan) -> float:
        """Returns the units in the bucket of a tenant that is new here."""
        return plan.burst_units

    def initial_hard_limit_tokens(self, now: int, account: TenantAccount) -> float:
        """Returns the units in the hard limit's bucket of a new tenant, in addition to its static share."""
        return 0.0

    def reporting_peers(self, gateway_span: int, first_gateway: int) -> tuple[int, ...]:
        """Returns those of a tenant's gateways that report what they used.

        The tenant's gateways are `gateway_span` consecutive ones, starting at `first_gateway`.
        """
        return ()

    def tokens_at_static_share(self, account: TenantAccount, even_units: float) -> float:
        """Returns the units in the bucket once the tenant's static share, `even_units`, is known."""
        return account.tokens

    def share_after_restart(self, now: int, account: TenantAccount) -> float:
        """Returns the part of a burst that may stay in the bucket once this gateway detects its restart."""
        return self.state.static_shares.share(now, account) or 1.0

    @abstractmethod
    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """Returns whether one more attempt is within the plan's concurrency limit, which must exist."""

    @abstractmethod
    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spends units without an answer of the owner or counter; returns False if denied."""

    def share_by_reports(self, now: int, account: TenantAccount) -> float:
        """Returns this gateway's even share of the quota plus the known parts of other shares.

        A part is known as far as the use of the other gateway is known here, from its reports or from what
        the owner or the counter said about the bucket.
        """
        shares = max(1, account.gateways.share_count)
        never_ns = self.state.started_at_ns - FRESH_NS
        reports = self.state.peers
        reported = [reports[p].received_at_ns if p in reports else never_ns for p in account.gateways.peers]
        if not reported:
            reported = [account.tokens_known_at_ns]
        fresh = sum(freshness(now, at) for at in reported) / len(reported)
        return (1.0 + fresh * (shares - 1)) / shares
