"""A large fleet's bad days in virtual time, with what its work changed in the decisions and without.

Without: room for chance, a home's first ceiling and its last word are taken out, by the same seeds. The
model's span and the calls to discovery are not; what those change, virtual time does not show.
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

QUICK, FULL = 1, 5  # seeds of each shape


def _before(name: str, seed: int) -> LargeFleetRun:
    former = (
        patch.object(broker, "CHANCE", 0.0),
        patch.object(hard_limit, "unspent_units", lambda *words: 0.0),
        patch.object(Quota, "is_known_spent", lambda *words: False),
    )
    with applied(former):
        return play(name, seed)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="one seed of each shape")
    seeds = range(1, 1 + (QUICK if parser.parse_args().quick else FULL))
    told: dict[str, dict[str, float]] = {}
    for name in FAULTS:
        now, before = [play(name, s) for s in seeds], [_before(name, s) for s in seeds]
        told[name] = {
            "served_share": fmean(s.served_share for s in now),
            "served_share_before": fmean(s.served_share for s in before),
            "refused_with_room_share": fmean(s.rejected_share for s in now),
            "refused_with_room_share_before": fmean(s.rejected_share for s in before),
            "retry_share": fmean(s.retry_share for s in now),
            "first_second_peak": max(s.first_second_peak for s in now),
            "violations": sum(s.violations for s in now),
        }
        print(name, told[name], flush=True)
    print(json.dumps({n: {k: round(v, 4) for k, v in each.items()} for n, each in told.items()}))


if __name__ == "__main__":
    main()
