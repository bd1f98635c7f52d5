"""Measures large fleets under faults in virtual time, with three rules for large fleets and without them.

Runs without the rules use the same seeds. They leave out the margin of a concurrency limit for random
variation, the unspent units that a new quota owner takes over, and the rule that skips a query when the quota
is known to be spent. Two other rules stay in place, as virtual time does not show their effect: the period of
the model of use, and the calls to discovery.
"""

from __future__ import annotations

import argparse
import json
from statistics import fmean
from unittest.mock import patch

from trackspread.decide import broker
from trackspread.decide.quota import Quota, hard_limit
from trackspread.testing.virtual.patches import applied
from trackspread.testing.virtual.large_fleets import FAULTS, LargeFleetRun, play

QUICK, FULL = 1, 5  # Seeds of each shape of fleet.


def _play_without_rules(name: str, seed: int) -> LargeFleetRun:
    """Plays a seed without the three rules."""
    replaced = (
        patch.object(broker, "CHANCE", 0.0),
        patch.object(hard_limit, "unspent_units", lambda *words: 0.0),
        patch.object(Quota, "is_known_spent", lambda *words: False),
    )
    with applied(replaced):
        return play(name, seed)


def main() -> None:
    """Prints the figures of each shape of fleet as JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="one seed of each shape")
    seeds = range(1, 1 + (QUICK if parser.parse_args().quick else FULL))
    figures: dict[str, dict[str, float]] = {}
    for name in FAULTS:
        now, before = [play(name, s) for s in seeds], [_play_without_rules(name, s) for s in seeds]
        figures[name] = {
            "served_share": fmean(s.served_share for s in now),
            "served_share_before": fmean(s.served_share for s in before),
            "refused_with_room_share": fmean(s.rejected_share for s in now),
            "refused_with_room_share_before": fmean(s.rejected_share for s in before),
            "retry_share": fmean(s.retry_share for s in now),
            "first_second_peak": max(s.first_second_peak for s in now),
            "violations": sum(s.violations for s in now),
        }
        print(name, figures[name], flush=True)
    print(json.dumps({n: {k: round(v, 4) for k, v in each.items()} for n, each in figures.items()}))


if __name__ == "__main__":
    main()
