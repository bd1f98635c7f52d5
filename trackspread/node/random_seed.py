"""Creates seeds for the random numbers of the cores, which do no I/O themselves."""

from __future__ import annotations

import os

SEED_BYTES = 8


def random_seed() -> int:
    """Returns a new random seed of 64 bits."""
    return int.from_bytes(os.urandom(SEED_BYTES))
