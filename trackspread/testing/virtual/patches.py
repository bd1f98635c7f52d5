"""Applies patches for the length of a block, which is how handwritten mutants are planted."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from ...decide.quota.gossip_sharing import GossipSharing
from ...decide.quota.lease_sharing import LeaseSharing
from ...decide.quota.owner_sharing import OwnerSharing
from ...decide.quota.static_sharing import StaticSharing

SHARINGS = (
    GossipSharing,
    LeaseSharing,
    OwnerSharing,
    StaticSharing,
)  # with a shared counter the sharing is static


@contextmanager
def applied(patches: Iterable[Any]) -> Iterator[None]:
    """Applies all patches until the block ends."""
    with ExitStack() as stack:
        for each in patches:
            stack.enter_context(each)
        yield


def in_all_sharings(method: str, mutant: Callable[..., Any]) -> list[Any]:
    """Returns patches that replace a method in every class by which gateways share quotas."""
    return [patch.object(sharing, method, mutant) for sharing in SHARINGS]


def first_detecting_seed(
    mutant: Callable[[], Iterable[Any]], violations: Callable[[int], Sequence[object]], seeds: Iterable[int]
) -> int | None:
    """Returns the first of the seeds whose play has violations with the mutant's patches, or None."""
    for seed in seeds:
        with applied(mutant()):
            if violations(seed):
                return seed
    return None
