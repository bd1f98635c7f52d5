"""Tests the shared counter's leases: single rules, and seeded faults in deterministic simulation."""

from __future__ import annotations

import random
from functools import partial

import pytest

from trackspread.counter.fair_shares import fair_shares
from trackspread.counter.commands import CounterError
from trackspread.counter.commands import ErrorReply, commands_for, key_of, parse_reply
from trackspread.counter.failure_detector import FailureDetector
from trackspread.counter.quota_client import terms_of
from trackspread.counter.calls import Call, Reply
from trackspread.counter.claims import Claim, Heartbeat, pack_claim, pack_heartbeat, unpack_claim
from trackspread.counter.lease_terms import LeaseTerms, static_share
from trackspread.counter.timing import EXPIRY_NS, HEARTBEAT_NS, LEASE_NS
from trackspread.decide.time_units import MILLISECOND, SECOND
from trackspread.decide.settings import Plan
from trackspread.testing.standins.counter import Cluster, CommandError, Shard, slot_of
from trackspread.testing.virtual.counter.world import World, WorldSettings
from trackspread.testing.virtual.counter.mutants import KINDS, is_detected
from trackspread.testing.virtual.counter.schedules import (
    FAULTS,
    play_without_faults,
    play_without_counter,
    make,
    play,
    play_moved_traffic,
)

TERMS = LeaseTerms(10.0, 1.0, 0.1, (0, 1, 2))


@pytest.mark.parametrize("seed", range(12))
def test_shares_and_hard_limits_hold_under_seeded_faults(seed: int) -> None:
    """Guards against shares or hard limits that are exceeded at any step of a seeded fault schedule."""
    world = play(make(seed))
    assert not world.violations, (str(make(seed)), world.violations)
    assert sum(count.forwarded for count in world.counts.values()) > 0


@pytest.mark.parametrize("name", FAULTS)
def test_tenants_are_served_again_after_each_fault(name: str) -> None:
    """Guards against shares that stay too small after a fault.

    In the calm second half, tenants must get most of what a single token bucket would have granted.
    """
    world = World(WorldSettings(5, load=2.0))
    world.run(4 * SECOND)
    world.clock.after(0, partial(FAULTS[name], world, random.Random(f"one fault:{name}")))
    if name == "lossy":
        world.clock.after(8 * SECOND, partial(FAULTS["calm"], world, random.Random(1)))
    world.run(16 * SECOND)
    before = {tenant: (count.forwarded, count.admissible) for tenant, count in world.counts.items()}
    world.run(6 * SECOND)
    assert not world.violations
    for tenant, count in world.counts.items():
        sent, inside = count.forwarded - before[tenant][0], count.admissible - before[tenant][1]
        assert sent > 0.7 * inside, (hex(tenant), sent, inside)


def test_fair_shares_fit_the_budget_and_meet_small_demands() -> None:
    """Guards against shares that sum to more than the budget, and against unmet smallest demands."""
    shares = fair_shares(7, TERMS, {}, {0: 0.5, 1: 9.0, 2: 9.0, 3: 0.0}, 1.0, 1)
    assert shares == {0: pytest.approx(0.1), 1: pytest.approx(0.45), 2: pytest.approx(0.45)}
    assert sum(fair_shares(7, TERMS, {}, dict.fromkeys(range(30), 9.0), 1.0, 1).values()) <= 1.0 + 1e-9


def test_gateways_take_turns_where_few_shares_fit() -> None:
    """Guards against gateways that never get a share when only two shares hold a request each."""
    narrow = LeaseTerms(10.0, 1.0, 0.5, (0, 1, 2))
    served = [set(fair_shares(7, narrow, {}, dict.fromkeys(range(5), 9.0), 1.0, turn)) for turn in range(40)]
    assert all(len(each) == 2 for each in served) and set.union(*served) == set(range(5))


def test_static_shares_sum_to_one() -> None:
    """Guards against static shares that exceed the limit or leave a part of it unused.

    The sum must be right too if equal shares of all gateways would not hold a request.
    """
    for min_share in (0.01, 0.2, 0.4, 1.0):
        terms = LeaseTerms(10.0, 1.0, min_share, tuple(range(7)))
        shares = [static_share(99, terms, gateway) for gateway in range(9)]
        assert sum(shares) == pytest.approx(1.0) and min(s for s in shares if s) >= min(min_share, 1 / 7)


def test_smallest_share_holds_one_request_and_one_attempt() -> None:
    """Guards against a smallest share too small for one request in every bucket or for one attempt."""
    plan = Plan("p", 10.0, 20.0, 4, 1.0, 0.0, 1.0, 20.0, 40.0, 0.0)
    assert terms_of(plan, 2.0, (0,)) == LeaseTerms(10.0, 20.0, 0.25, (0,), True)
    assert terms_of(Plan("p", 0.0, 0.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0), 2.0, (0,)) is None


def _read(detector: FailureDetector, now: int, sequence: int, delay: int = 0, wrote: bool = True) -> None:
    """Reads gateway 1's heartbeat at `now`, which was delayed by `delay` ns."""
    clock_ms = now // MILLISECOND
    heartbeat = pack_heartbeat(Heartbeat(5, sequence, clock_ms - delay // MILLISECOND))
    detector.on_reply(now, now, wrote, Reply(clock_ms, {1: heartbeat}, b"x"))
    detector.review(now)


def test_changed_heartbeat_counts_from_the_previous_read() -> None:
    """Guards against a gateway that counts as alive for longer than its heartbeats prove.

    A changed heartbeat was written after the previous read, so its writer was alive at that time at least.
    """
    detector = FailureDetector(0, 2, 9, SECOND)
    _read(detector, SECOND, 1)
    for sequence in range(2, 6):
        _read(detector, sequence * SECOND // 2 + SECOND, sequence)
    last = 3 * SECOND + SECOND // 2
    assert detector.observations[1].alive_since_ns == last - SECOND // 2 and not detector.unresponsive
    detector.review(last - SECOND // 2 + LEASE_NS + 1)
    assert detector.unresponsive == {1} and not detector.expired
    detector.review(last - SECOND // 2 + EXPIRY_NS + 1)
    assert detector.expired == {1}


def test_delayed_heartbeat_does_not_extend_known_life() -> None:
    """Guards against a delayed heartbeat that is taken for a recent one.

    By the counter's clock the heartbeat is ten seconds old when it is read.
    """
    detector = FailureDetector(0, 2, 9, 100 * SECOND)
    for sequence in range(1, 5):
        _read(detector, 100 * SECOND + sequence * HEARTBEAT_NS, sequence)
    since = detector.observations[1].alive_since_ns
    _read(detector, 100 * SECOND + 5 * HEARTBEAT_NS, 5, delay=SECOND * 10)
    assert detector.observations[1].alive_since_ns == since


def test_older_heartbeat_is_ignored() -> None:
    """Guards against an older heartbeat, returned after a network partition healed, that counts as new."""
    detector = FailureDetector(0, 2, 9, 100 * SECOND)
    for sequence in range(1, 5):
        _read(detector, 100 * SECOND + sequence * HEARTBEAT_NS, sequence)
    seen = detector.observations[1]
    _read(detector, 100 * SECOND + 6 * HEARTBEAT_NS, 2)
    assert detector.observations[1] == seen


def test_invalid_claims_are_ignored() -> None:
    """Guards against bytes of other programs on the same server that are taken for claims."""
    packed = pack_claim(Claim(1, 2, 0.5, 3.0, 4.0, 5.0, 6))
    assert unpack_claim(packed) == Claim(1, 2, 0.5, 3.0, 4.0, 5.0, 6)
    assert unpack_claim(packed[:-1]) is None and unpack_claim(b"") is None
    assert unpack_claim(pack_claim(Claim(1, 2, 2.0, 3.0, 4.0, 5.0, 6))) is None
    assert unpack_claim(pack_claim(Claim(1, 2, 0.5, float("nan"), 4.0, 5.0, 6))) is None


def test_malformed_reply_is_rejected_completely() -> None:
    """Guards against a malformed reply or an error of which a part is used all the same."""
    call = Call(1, 0, 7, b"v")
    good = [1, [b"0", b"v", b"id", b"t", b"junk", b"x"], 1, [b"12", b"345000"]]
    assert parse_reply(call, good) == Reply(12_345, {0: b"v"}, b"t", True)
    assert not parse_reply(call, [0, *good[1:]]).field_was_missing
    for malformed in (
        [1, [b"0"], 1, [b"1", b"2"]],
        [1, None, 1, [b"1", b"2"]],
        [1, [], 1, [b"x", b"2"]],
        [],
    ):
        with pytest.raises(CounterError):
            parse_reply(call, malformed)
    with pytest.raises(CounterError, match="LOADING"):
        parse_reply(call, [ErrorReply("LOADING later"), *good[1:]])


def test_keys_of_a_partition_share_one_hash_slot() -> None:
    """Guards against keys of one partition that a cluster puts on different servers."""
    keys = [key_of("ts", 3, tenant) for tenant in (None, 1, 2, -5)]
    assert len({slot_of(key) for key in keys}) == 1 and len(set(keys)) == 4
    # This is the reference value of the CRC16 in the cluster specification.
    assert slot_of(b"123456789") == 0x31C3 % 16384


def test_counter_standin_redirects_keys_of_other_shards() -> None:
    """Guards against a stand-in whose MOVED and ASK differ from those of a Redis cluster."""
    cluster = Cluster(2)
    key = key_of("ts", 0, None)
    owner = cluster.shards[cluster.owner[slot_of(key)]]
    other = cluster.shards[1 - owner.number]
    command = commands_for(Call(1, 0, None, b"v"), "ts", 0, b"t")[1]
    assert owner.execute(0, command, 0) == 1
    assert str(other.execute(0, command, 0)).startswith("MOVED ")
    cluster.migrating[slot_of(key)] = other.number
    assert owner.execute(0, (b"HGETALL", key), 0) == [b"0", b"v"]
    assert str(owner.execute(0, (b"HGETALL", key + b"x"), 0)).startswith("ASK ")
    assert other.execute(0, (b"HGETALL", key + b"x"), 0, asking=True) == []


def test_standin_promotion_loses_writes_and_keys_expire() -> None:
    """Guards against a stand-in that keeps writes which a promoted replica would not have."""
    shard = Shard(0)
    shard.execute(0, (b"HSET", b"n", b"0", b"old"), 1000)
    shard.execute(0, (b"PEXPIRE", b"n", b"5000"), 1000)
    shard.execute(0, (b"PING",), 1400)
    shard.execute(0, (b"HSET", b"n", b"0", b"new"), 2000)
    shard.promote(2000, 500)
    assert shard.execute(0, (b"HGETALL", b"n"), 2000) == [b"0", b"old"]
    assert shard.execute(0, (b"HGETALL", b"n"), 6001) == []
    shard.write_error = "READONLY no"
    assert isinstance(shard.execute(0, (b"HSET", b"n", b"0", b"x"), 2000), CommandError)


@pytest.mark.parametrize("seed", range(24))
def test_released_share_is_not_used_too_soon(seed: int) -> None:
    """Guards against a share that one gateway releases too late or another one uses too early.

    A tenant's complete limit is held by one gateway when a fault occurs and its traffic moves elsewhere.
    """
    assert play_moved_traffic(seed) == []


@pytest.mark.parametrize("seed", range(8))
def test_quota_excess_is_bounded_without_the_counter(seed: int) -> None:
    """Guards against unbounded use of a quota while no gateway reaches the counter.

    The gateways' shares by last demand sum to 1, so the excess is at most the tokens that each gateway knew
    of, once.
    """
    assert play_without_counter(seed) == []


@pytest.mark.parametrize("seed", range(4))
def test_quotas_are_served_and_kept_without_faults(seed: int) -> None:
    """Guards against rejected requests within the quota, and against use beyond it, without faults."""
    assert play_without_faults(seed) == []


# The first kind of world and seed that detects each mutant. `benchmarks.counter` runs the complete list; its
# last run says which mutants no world detects.
DETECTING_WORLDS = {
    "proof-not-awaited": ("moved traffic", 12),
    "proof-without-heartbeats": ("moved traffic", 12),
    "share-not-reduced": ("moved traffic", 13),
    "raised-before-reply": ("moved traffic", 2),
    "static-share-at-once": ("moved traffic", 29),
    "expiry-too-short": ("moved traffic", 12),
    "older-claims-accepted": ("without faults", 0),
    "guarantee-exceeds-limit": ("moved traffic", 1),
    "missing-field-ignored": ("moved traffic", 123),
    "entire-quota-without-replies": ("without counter", 0),
    "heartbeats-after-failure": ("faults", 1),
    "spending-elsewhere-ignored": ("without faults", 0),
    "share-never-released": ("without faults", 4),
}


@pytest.mark.parametrize("name", DETECTING_WORLDS)
def test_mutant_is_detected(name: str) -> None:
    """Guards against simulations that no longer detect a broken rule of the lease protocol."""
    kind, seed = DETECTING_WORLDS[name]
    assert not KINDS[kind](seed) and is_detected(name, kind, seed)
