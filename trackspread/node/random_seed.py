"""Seeds of the random numbers of cores without I/O."""

from __future__ import annotations

import os

SEED_BYTES = 8


def random_seed() -> int:
    """A new seed of 64 bits."""
    return int.from_bytes(os.urandom(SEED_BYTES))
