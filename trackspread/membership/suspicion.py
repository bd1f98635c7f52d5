"""How long a suspect has to clear itself, after Lifeguard (Dadgar and others 2018). Pure arithmetic."""

from __future__ import annotations

from math import log10

LEAST, MOST = 3, 9  # periods to clear itself for whom enough suspect, and for whom one does
CONFIRMED = 3  # others that suspect the same, from which the time is the least


def grace(suspected_by: int, members: int, period: int, stretch: int) -> int:
    """ns until a suspect counts as dead: the more suspect the same, the shorter; longer in a large fleet, and
    while whoever suspects is not well itself (`stretch`)."""
    confirmed = min(CONFIRMED, suspected_by - 1)
    share = 1.0 if confirmed <= 0 else 1.0 - log10(confirmed + 1) / log10(CONFIRMED + 1)
    scale = max(1.0, log10(max(1, members)))
    return int((LEAST + (MOST - LEAST) * share) * scale * period * stretch)
