"""Shares quotas by gossip: each gateway keeps the full bucket and deducts what others report as used."""

from __future__ import annotations

from ..tenant_account import TenantAccount
from . import token_bucket
from .capacity import has_capacity
from .concurrency_limit import has_free_shared_attempt
from .freshness import freshness
from .sharing import QuotaSharing
from .static_shares import SlotShares


class GossipSharing(QuotaSharing):
    """Shares quotas among gateways that report their use to all others.

    The reports arrive often enough for each gateway to keep the bucket accurate.
    """

    has_transfers = True

    def has_owner(self, account: TenantAccount) -> bool:
        """Returns True for a concurrency limit only.

        Its few attempts would be taken before the gateways could report them to each other.
        """
        return account.plan.concurrency_limit > 0

    def is_local(self, account: TenantAccount) -> bool:
        """Returns True unless another gateway owns the tenant's quota."""
        if account.plan.concurrency_limit > 0:
            return self.state.is_own(account)
        return True

    def local_share(self, now: int, account: TenantAccount) -> float:
        """Returns the static share plus that of each peer, weighted by the freshness of its reports.

        The share of an unresponsive peer is thus returned to it gradually, with the age of its last report.
        """
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
        """Returns the same part as `local_share`."""
        return self.local_share(now, account)

    def count_overflow(
        self, account: TenantAccount, share: float, elapsed_s: float, before: float, limit: float
    ) -> None:
        """Counts lost refill while a part is reserved for unresponsive peers, as they may have used it."""
        if share < 1.0:
            account.overflow_units += account.plan.rate_per_s * elapsed_s - (account.tokens - before)

    def reporting_peers(self, gateway_span: int, first_gateway: int) -> tuple[int, ...]:
        """Returns the tenant's gateways except this one."""
        settings = self.state.settings
        gateways = [(first_gateway + n) % settings.gateway_count for n in range(gateway_span)]
        return tuple(each for each in gateways if each != settings.gateway_index)

    def tokens_at_static_share(self, account: TenantAccount, even_units: float) -> float:
        """Returns the static share only after a restart, because the bucket may not have been full."""
        return even_units if self.state.has_restarted else account.tokens

    def has_free_attempt(self, now: int, account: TenantAccount) -> bool:
        """Returns whether one more attempt is free according to the reports of peers."""
        return has_free_shared_attempt(self, now, account)

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Spends from the bucket here, because it reflects the reports of other gateways."""
        return has_capacity(self, now, account, units) and token_bucket.spend(
            self.state, account, units, False
        )
