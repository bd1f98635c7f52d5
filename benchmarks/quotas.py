"""Quiet days in virtual time: the price of units beyond quotas and refusals with room.

Beside them stands a policy that sees the true state late, for settings of several customers' kinds. Shares
are of the worth that one who saw all would let in; `more` is the price over the late-seeing policy's, of
which the operators allow 0.1.
"""

from __future__ import annotations

import argparse
import json
from statistics import fmean

from trackspread.testing.virtual.quota_accuracy import FAULTS, SCENARIOS, QuotaAccuracy, play

from .common import say

QUICK, FULL = 2, 8  # seeds of each day
WORST_GROUP = "worst_group_more"


def told(days: list[QuotaAccuracy]) -> dict[str, float]:
    groups = [(name, policy, stale) for day in days for name, (policy, stale) in day.groups.items()]
    return {
        "inside": fmean(d.policy.inside for d in days),
        "over_price": fmean(d.policy.over_price for d in days),
        "refused_with_room": fmean(d.policy.rejected_with_quota_left for d in days),
        "late_inside": fmean(d.stale.inside for d in days),
        "late_over_price": fmean(d.stale.over_price for d in days),
        "more": fmean(d.price_difference for d in days),
        WORST_GROUP: max(policy.over_price - stale.over_price for _, policy, stale in groups),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="under 50 s")
    seeds = range(1, 1 + (QUICK if parser.parse_args().quick else FULL))
    figures: dict[str, dict[str, float]] = {}
    for name in SCENARIOS:
        for trouble in FAULTS:
            made = {k: round(v, 4) for k, v in told([play(name, trouble, seed) for seed in seeds]).items()}
            figures[f"{name}, {trouble}"] = made
            say(f"{name}, {trouble}: {made}")
    worst = {key: max(each[key] for each in figures.values()) for key in ("over_price", "more", WORST_GROUP)}
    print(json.dumps(figures | {"worst": worst}))


if __name__ == "__main__":
    main()
