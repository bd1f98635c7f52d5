"""Tests the running sums over competing commitments against a direct computation."""

from __future__ import annotations

import random
from math import inf

import pytest

from trackspread.decide.competing_commitments import (
    MIN_IN_FLIGHT,
    MIN_THROUGHPUT_PER_S,
    CompetingCommitments,
    CompetingLoad,
)
from trackspread.decide.quota import Quota
from trackspread.decide.commitment import Commitment
from trackspread.decide.decaying_mean import SHORT_TERM, DecayingMean
from trackspread.decide.time_units import SECOND

from ..helpers import settings


def random_commitments(count: int, rng: random.Random) -> list[Commitment]:
    quota = Quota(settings(), 1, 0, rng)
    created = []
    for tenant in range(count):
        each = Commitment(
            quota.account(0, tenant, 0), 0, 0, DecayingMean(SHORT_TERM), DecayingMean(SHORT_TERM)
        )
        each.mean_in_flight.add(0, rng.choice((0.0, MIN_IN_FLIGHT, 0.3, rng.uniform(0.1, 9.0))))
        change_randomly(each, rng)
        created.append(each)
    return created


def change_randomly(commitment: Commitment, rng: random.Random) -> None:
    commitment.cap, commitment.min_throughput_per_s = (
        rng.randrange(6),
        rng.choice((0.0, rng.uniform(0.1, 50.0))),
    )
    commitment.max_wait_ns = rng.uniform(0.1, 2.0) * SECOND


def computed_directly(commitment: Commitment, commitments: list[Commitment]) -> CompetingLoad:
    """Computes the load directly from every other commitment."""
    busy = [c for c in commitments if c is not commitment and c.mean_in_flight.value > MIN_IN_FLIGHT]
    max_response_times = [
        c.cap * SECOND / max(c.min_throughput_per_s, MIN_THROUGHPUT_PER_S) for c in busy if c.cap > 1
    ]
    return CompetingLoad(
        sum(c.mean_in_flight.value if c.cap > 1 else min(1.0, c.mean_in_flight.value) for c in busy),
        min((c.max_wait_ns for c in busy), default=inf),
        min(max_response_times, default=inf),
    )


@pytest.mark.parametrize("seed", range(30))
def test_running_sums_equal_direct_computation(seed: int) -> None:
    rng = random.Random(seed)
    commitments = random_commitments(rng.randrange(1, 12), rng)
    competing = CompetingCommitments(commitments)
    for _ in range(200):
        commitment = rng.choice(commitments)
        if rng.random() < 0.6:
            change_randomly(commitment, rng)
            competing.update(commitment)
        actual, expected = competing.without(commitment), computed_directly(commitment, commitments)
        assert actual.in_flight == pytest.approx(expected.in_flight)
        assert actual.max_wait_ns == expected.max_wait_ns
        assert actual.max_response_time_ns == expected.max_response_time_ns


def test_single_commitment_has_no_competitors() -> None:
    (commitment,) = random_commitments(1, random.Random(1))
    assert CompetingCommitments([commitment]).without(commitment) == CompetingLoad(0.0, inf, inf)
