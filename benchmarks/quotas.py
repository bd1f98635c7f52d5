"""Measures quota accuracy in virtual time: the price of units beyond quotas, and rejections within quotas.

For several mixes of tenants, the gateways' policy is compared with a policy that sees the true state late.
Shares are of the priority weight that a policy with complete knowledge would admit. `more` is the price above
that of the late policy; the operators allow 0.1.
"""

from __future__ import annotations

import argparse
import json
from statistics import fmean

from trackspread.testing.virtual.quota_accuracy import FAULTS, SCENARIOS, QuotaAccuracy, play

from .common import say

QUICK, FULL = 2, 8  # Seeds of each scenario.
WORST_GROUP = "worst_group_more"


def summarize(runs: list[QuotaAccuracy]) -> dict[str, float]:
    """Returns the mean figures of some runs, and the price difference of the worst group."""
    groups = [(name, policy, stale) for run in runs for name, (policy, stale) in run.groups.items()]
    return {
        "inside": fmean(run.policy.inside for run in runs),
        "over_price": fmean(run.policy.over_price for run in runs),
        "refused_with_room": fmean(run.policy.rejected_with_quota_left for run in runs),
        "late_inside": fmean(run.stale.inside for run in runs),
        "late_over_price": fmean(run.stale.over_price for run in runs),
        "more": fmean(run.price_difference for run in runs),
        WORST_GROUP: max(policy.over_price - stale.over_price for _, policy, stale in groups),
    }


def main() -> None:
    """Prints the figures of each scenario and fault as JSON."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--quick", action="store_true", help="take less than 50 s")
    seeds = range(1, 1 + (QUICK if parser.parse_args().quick else FULL))
    figures: dict[str, dict[str, float]] = {}
    for name in SCENARIOS:
        for fault in FAULTS:
            results = [play(name, fault, seed) for seed in seeds]
            made = {key: round(value, 4) for key, value in summarize(results).items()}
            figures[f"{name}, {fault}"] = made
            say(f"{name}, {fault}: {made}")
    worst = {key: max(each[key] for each in figures.values()) for key in ("over_price", "more", WORST_GROUP)}
    print(json.dumps(figures | {"worst": worst}))


if __name__ == "__main__":
    main()
