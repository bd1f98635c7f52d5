"""Who should hold how much of a member, by what each is asked for: fair shares, and turns where few fit.

May know: wants and terms. May not know: who holds what, time but as a turn. All gateways that read the same
words come to the same shares; nothing is safe because of that, and it is not meant to be.
"""

from __future__ import annotations

from collections.abc import Mapping

from .terms import EPSILON, GUARANTEED, HEADROOM, Terms, rank


def desired(terms: Terms, want: float, own: float) -> float:
    """The share of the pool that fits what a gateway is asked for, in units a second; `own` is its even
    slice, of which it has the guaranteed part in any case."""
    if want <= 0.0:
        return 0.0
    needed = HEADROOM * want / terms.rate if terms.rate else 1.0
    if not terms.places and needed <= GUARANTEED * own:
        return 0.0
    return min(1.0, max(terms.least, needed))


def allot(
    member: int,
    terms: Terms,
    evens: Mapping[int, float],
    wants: Mapping[int, float],
    budget: float,
    turn: int,
) -> dict[int, float]:
    """Shares that sum to `budget` at most: the least of wants first, whole; the rest alike. Where a share
    would not hold a request, only as many are served as hold one, in an order that each turn draws anew."""
    needs = {slot: desired(terms, want, evens.get(slot, 0.0)) for slot, want in wants.items()}
    asked = {slot: need for slot, need in needs.items() if need}
    fits = max(1, int(budget / terms.least + EPSILON)) if budget >= terms.least - EPSILON else 0
    if len(asked) > fits:
        order = sorted(asked, key=lambda slot: rank(member, slot, turn))
        asked = {slot: asked[slot] for slot in order[:fits]}
    shares: dict[int, float] = {}
    rest = budget
    for left, slot in zip(
        range(len(asked), 0, -1), sorted(asked, key=lambda slot: (asked[slot], slot)), strict=True
    ):
        shares[slot] = min(asked[slot], rest / left)
        rest -= shares[slot]
    return shares
