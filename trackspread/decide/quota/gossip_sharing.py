"""Gossip between all gateways: each keeps the full bucket and takes off it what others report as used."""

from __future__ import annotations

from ..tenant_account import TenantAccount
from . import token_bucket
from .capacity import has_capacity
from .concurrency_limit import has_free_shared_attempt
from .freshness import freshness
from .sharing import QuotaSharing
from .static_shares import SlotShares


class GossipSharing(QuotaSharing):
    """Every gateway reports its use to all others in time for each to keep the bucket."""

    has_transfers = True

    def has_owner(self, account: TenantAccount) -> bool:
        """Only with a concurrency limit: a few attempts would be taken before all could report to all."""
        return account.plan.concurrency_limit > 0

    def is_local(self, account: TenantAccount) -> bool:
        """Except where another gateway owns the tenant's quota."""
        if account.plan.concurrency_limit > 0:
            return self.state.is_own(account)
        return True

    def local_share(self, now: int, account: TenantAccount) -> float:
        """The static share, and that of each peer as far as its reports are fresh. The share of a peer that
        is unresponsive goes back to it with the age of its last report."""
        slots = self.state.slot_shares()
        if slots is None:
            return self.share_by_reports(now, account)
        return self._share_by_slots(slots, now, account)

    def _share_by_slots(self, slots: SlotShares, now: int, account: TenantAccount) -> float:
        own_share = slots.share(now, account)
        reports = self.state.peers
        peers = zip(slots.view.peers, slots.view.peer_slots, strict=True)
        peer_shares = (
            slots.share_of_slots(account, peer_slots) * freshness(now, reports[peer].received_at_ns)
            for peer, peer_slots in peers
            if peer in reports
        )
        return min(1.0, own_share + sum(peer_shares))

    def refill_share(self, now: int, account: TenantAccount) -> float:
        """The part that `local_share` gives."""
        return self.local_share(now, account)

    def count_overflow(
        self, account: TenantAccount, share: float, elapsed_s: float, before: float, limit: float
    ) -> None:
        """While a part is left to unresponsive peers: they may have used it."""
        if share < 1.0:
            account.overflow_units += account.plan.rate_per_s * elapsed_s - (account.tokens - before)

    def reporting_peers(self, gateway_span: int, first_gateway: int) -> tuple[int, ...]:
        """The tenant's gateways except this one."""
        settings = self.state.settings
        gateways = [(first_gateway + n) % settings.gateway_count for n in range(gateway_span)]
        return tuple(each for each in gateways if each != settings.gateway_index)

    def tokens_at_static_share(self, account: TenantAccount, even_units: float) -> float:
        """After a restart the static share of a burst alone: the bucket is not full as on a first day."""
        return even_units if self.state.has_restarted else account.tokens

    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """By what peers reported."""
        return has_free_shared_attempt(self, now, account)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Of the bucket here, as it holds what others reported."""
        return has_capacity(self, now, account, units) and token_bucket.spend(account, units, False)
