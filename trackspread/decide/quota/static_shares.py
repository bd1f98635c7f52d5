"""Defines this gateway's static share of a tenant's limits: an even one, or one by slots.

It does not depend on what other gateways do.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..events import FleetChanged
from ..tenant_account import TenantAccount


class StaticShares(ABC):
    """Determines static shares; those of all gateways together are at most 1."""

    @abstractmethod
    def share(self, now: int, account: TenantAccount) -> float:
        """Returns this gateway's part of the tenant's limits; 0.0 if it has none."""

    @abstractmethod
    def share_or_all(self, now: int, account: TenantAccount) -> float:
        """Returns the same, but 1.0 if no gateways are known to share the tenant's limits."""

    @abstractmethod
    def is_isolated(self, now: int) -> bool:
        """Returns whether this gateway must not use anything shared.

        This is the case when it has lost its fleet or has not found it yet.
        """

    @abstractmethod
    def peers_of(self, account: TenantAccount) -> tuple[int, ...]:
        """Returns the other gateways that the tenant's requests come through."""

    @abstractmethod
    def peers_with_share(self, account: TenantAccount) -> tuple[int, ...]:
        """Returns those of them that hold a part of the tenant's limits and could transfer units."""


class EvenShares(StaticShares):
    """Divides limits evenly among the tenant's gateways in the settings' list, without a fleet view."""

    def share(self, now: int, account: TenantAccount) -> float:
        """Returns one divided by the number of shares; 0.0 until a request of the tenant has arrived here."""
        return 1.0 / account.gateways.share_count if account.gateways.share_count else 0.0

    def share_or_all(self, now: int, account: TenantAccount) -> float:
        """Returns the same share, but 1.0 until a request of the tenant has arrived here."""
        return 1.0 / account.gateways.share_count if account.gateways.share_count else 1.0

    def is_isolated(self, now: int) -> bool:
        """Returns False, because the settings' list of gateways is always valid."""
        return False

    def peers_of(self, account: TenantAccount) -> tuple[int, ...]:
        """Returns the peers that the tenant's first request here named."""
        return account.gateways.peers

    def peers_with_share(self, account: TenantAccount) -> tuple[int, ...]:
        """Returns all of them, because the parts are even."""
        return account.gateways.peers


class SlotShares(StaticShares):
    """Divides limits by a fleet view: each limit consists of slots, and each gateway holds some of them.

    A set of slots is the bits of an integer.
    """

    def __init__(self, view: FleetChanged) -> None:
        self.view = view
        self._slot_sets: dict[tuple[int, int], int] = {}  # by first gateway and span of a tenant's gateways

    def own_slots(self, now: int) -> int:
        """Returns the slots that may be used here now, according to the view."""
        return self.view.own_slots if now < self.view.valid_until_ns else 0

    def share_of_slots(self, account: TenantAccount, slots: int) -> float:
        """Returns the part of the tenant's limits that these slots represent.

        All of the limits are the slots of the tenant's gateways.
        """
        key = account.gateways.first, account.gateways.span
        all_slots = self._slot_sets.get(key)
        if all_slots is None:
            all_slots = self._slot_sets[key] = self._slots_of_gateways(*key)
        return (slots & all_slots).bit_count() / max(1, all_slots.bit_count())

    def _slots_of_gateways(self, first_gateway: int, gateway_span: int) -> int:
        """Returns the slots of these consecutive gateways, or of all gateways if the span is 0 (unknown)."""
        by_gateway = self.view.gateway_slots
        slots = 0
        for n in range(gateway_span or len(by_gateway)):
            slots |= by_gateway[(first_gateway + n) % len(by_gateway)]
        return slots

    def share(self, now: int, account: TenantAccount) -> float:
        """Returns the share of the slots held here; 0.0 once the view has expired."""
        return self.share_of_slots(account, self.own_slots(now))

    def share_or_all(self, now: int, account: TenantAccount) -> float:
        """Returns the share of the slots held here; a view names all holders, so there is no default."""
        return self.share_of_slots(account, self.own_slots(now))

    def is_isolated(self, now: int) -> bool:
        """Returns whether no slot may be used here."""
        return not self.own_slots(now)

    def peers_of(self, account: TenantAccount) -> tuple[int, ...]:
        """Returns all other gateways of the view."""
        return self.view.peers

    def peers_with_share(self, account: TenantAccount) -> tuple[int, ...]:
        """Returns the peers that hold slots of the tenant."""
        peers = zip(self.view.peers, self.view.peer_slots, strict=True)
        return tuple(peer for peer, slots in peers if self.share_of_slots(account, slots))

    def all_peer_slots(self) -> int:
        """Returns the slots of all other gateways, as these report them."""
        slots = 0
        for each in self.view.peer_slots:
            slots |= each
        return slots
