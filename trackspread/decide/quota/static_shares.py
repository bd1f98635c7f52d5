"""This gateway's static share of a tenant's limits, whatever other gateways do: an even one, or by slots."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..events import FleetChanged
from ..tenant_account import TenantAccount


class StaticShares(ABC):
    """The source of static shares. All gateways' shares together are at most 1."""

    @abstractmethod
    def share(self, now: int, account: TenantAccount) -> float:
        """Part of the tenant's limits that is this gateway's; 0.0 where it has none."""

    @abstractmethod
    def share_or_all(self, now: int, account: TenantAccount) -> float:
        """Likewise, but 1.0 where no gateways are known to share the tenant's limits."""

    @abstractmethod
    def is_cut_off(self, now: int) -> bool:
        """Whether nothing that is shared may be used here: this gateway has lost its fleet, or not found
        it."""

    @abstractmethod
    def peers_of(self, account: TenantAccount) -> tuple[int, ...]:
        """Other gateways that the tenant's requests come through."""

    @abstractmethod
    def peers_with_share(self, account: TenantAccount) -> tuple[int, ...]:
        """Those of them that have a part of the tenant's limits, and could transfer some."""


class EvenShares(StaticShares):
    """Without a fleet view: the tenant's gateways of the settings' list, all with the same part."""

    def share(self, now: int, account: TenantAccount) -> float:
        """One part of as many as there are gateways; 0.0 while no request of the tenant came here."""
        return 1.0 / account.gateways.share_count if account.gateways.share_count else 0.0

    def share_or_all(self, now: int, account: TenantAccount) -> float:
        """1.0 while no request of the tenant came here."""
        return 1.0 / account.gateways.share_count if account.gateways.share_count else 1.0

    def is_cut_off(self, now: int) -> bool:
        """Never: the settings' list of gateways always holds."""
        return False

    def peers_of(self, account: TenantAccount) -> tuple[int, ...]:
        """As the tenant's first request here named them."""
        return account.gateways.peers

    def peers_with_share(self, account: TenantAccount) -> tuple[int, ...]:
        """All of them: parts are even."""
        return account.gateways.peers


class SlotShares(StaticShares):
    """By a fleet view: each limit is divided into slots (a set of them is the bits of an integer), and each
    gateway holds some."""

    def __init__(self, view: FleetChanged) -> None:
        self.view = view
        self._slot_sets: dict[tuple[int, int], int] = {}  # by first gateway and span of tenants

    def own_slots(self, now: int) -> int:
        """Slots that may be used here now, by the view."""
        return self.view.own_slots if now < self.view.valid_until_ns else 0

    def share_of_slots(self, account: TenantAccount, slots: int) -> float:
        """Part of the tenant's limits that these slots are: those of its gateways are all of them."""
        key = account.gateways.first, account.gateways.span
        all_slots = self._slot_sets.get(key)
        if all_slots is None:
            all_slots = self._slot_sets[key] = self._slots_of_gateways(*key)
        return (slots & all_slots).bit_count() / max(1, all_slots.bit_count())

    def _slots_of_gateways(self, first_gateway: int, gateway_span: int) -> int:
        """Slots of so many gateways in a row; of all gateways where the span is 0, not known yet."""
        by_gateway = self.view.gateway_slots
        slots = 0
        for n in range(gateway_span or len(by_gateway)):
            slots |= by_gateway[(first_gateway + n) % len(by_gateway)]
        return slots

    def share(self, now: int, account: TenantAccount) -> float:
        """That of the slots held here; 0.0 once the view is out of date."""
        return self.share_of_slots(account, self.own_slots(now))

    def share_or_all(self, now: int, account: TenantAccount) -> float:
        """That of the slots held here: a view says who shares, so there is never all by default."""
        return self.share_of_slots(account, self.own_slots(now))

    def is_cut_off(self, now: int) -> bool:
        """Whether no slot may be used here."""
        return not self.own_slots(now)

    def peers_of(self, account: TenantAccount) -> tuple[int, ...]:
        """All gateways of the view."""
        return self.view.peers

    def peers_with_share(self, account: TenantAccount) -> tuple[int, ...]:
        """Those that hold slots of the tenant's."""
        peers = zip(self.view.peers, self.view.peer_slots, strict=True)
        return tuple(peer for peer, slots in peers if self.share_of_slots(account, slots))

    def all_peer_slots(self) -> int:
        """Slots of all other gateways, as those say."""
        slots = 0
        for each in self.view.peer_slots:
            slots |= each
        return slots
