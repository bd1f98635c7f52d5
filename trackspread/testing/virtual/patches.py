"""Patches that stand for as long as a block lasts: how hand-made mutants are planted, in all their homes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

from ...decide.quota.gossip_sharing import GossipSharing
from ...decide.quota.lease_sharing import LeaseSharing
from ...decide.quota.owner_sharing import OwnerSharing
from ...decide.quota.static_sharing import StaticSharing

SHARINGS = (GossipSharing, LeaseSharing, OwnerSharing, StaticSharing)  # a shared counter's is a static one


@contextmanager
def held(patches: Iterable[Any]) -> Iterator[None]:
    """All of them, until the block ends."""
    with ExitStack() as stack:
        for each in patches:
            stack.enter_context(each)
        yield


def in_all_sharings(name: str, fault: Callable[..., Any]) -> list[Any]:
    """The fault in place of a method of every way in which gateways share quotas."""
    return [patch.object(sharing, name, fault) for sharing in SHARINGS]
