"""Rendezvous hashing: which gateway keeps a customer's store. Pure arithmetic; nothing here decides."""

from __future__ import annotations

import xxhash

KEY_MASK = 0xFFFFFFFFFFFFFFFF  # the hash's seed has 64 bits


def home_of(customer: int, homes: tuple[int, ...]) -> int:
    """The home among `homes`. One that comes takes its part of the customers from all others, one that goes
    leaves its part to all."""
    seed = customer & KEY_MASK
    return max(homes, key=lambda number: xxhash.xxh64_intdigest(number.to_bytes(8), seed))
