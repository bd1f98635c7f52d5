"""Tests the state machines of membership: updates, probes, slot leases, slot allocation and messages."""

from __future__ import annotations

import random
from functools import reduce
from operator import or_
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trackspread.config.addresses import ConfigError
from trackspread.config.operator import Fleet, parse
from trackspread.membership.gossip import MAX_UPDATES_PER_MESSAGE, GossipQueue
from trackspread.membership.identifiers import MS, SECOND, Epoch, MemberId
from trackspread.membership.lease_timing import (
    CONTACT_TIMEOUT_NS,
    RENEWAL_SPAN_NS,
    grantor_duration_ns,
    holder_duration_ns,
)
from trackspread.membership.member_table import GONE_RETENTION_NS, MemberTable
from trackspread.membership.messages import (
    GossipUpdate,
    MemberMessage,
    Ping,
    State,
    TableSnapshot,
    View,
    ViewAnnouncement,
)
from trackspread.membership.prober import MAX_HEALTH, Prober
from trackspread.membership.slot_allocation import (
    ALL_SLOTS,
    SLOT_COUNT,
    allocate,
    format_slots,
    lowest_slots,
    slots_from_bytes,
    slots_of,
    slots_to_bytes,
)
from trackspread.membership.slot_lease import SlotLease
from trackspread.membership.slot_leases import SlotLeases
from trackspread.membership.slowness import Slowness
from trackspread.membership.wire import MAX_DATAGRAM_BYTES, Keys, Wire
from trackspread.node.fleet_keys import read_keys
from trackspread.testing.judge import membership_records
from trackspread.testing.virtual.membership.world import LEASE_DURATION_NS, World

OWN_UPDATE = GossipUpdate("me", 10, 0, State.ALIVE, "127.0.0.1", 1)


def make_update(
    name: str = "a", created_at_ms: int = 5, incarnation: int = 0, state: State = State.ALIVE
) -> GossipUpdate:
    return GossipUpdate(name, created_at_ms, incarnation, state, "127.0.0.2", 2)


gossip_updates = st.builds(
    make_update, st.sampled_from("abc"), st.integers(1, 3), st.integers(0, 2), st.sampled_from(State)
)


@given(st.lists(gossip_updates, max_size=25), st.randoms(use_true_random=False))
def test_updates_merge_equally_in_any_order(updates: list[GossipUpdate], rng: random.Random) -> None:
    """Tables that receive the same updates in different orders become equal."""
    tables = []
    for _ in range(3):
        member_table = MemberTable(OWN_UPDATE, 10)
        for each in updates:
            member_table.apply(0, each, "x")
        tables.append({name: entry.update.rank for name, entry in member_table.by_name.items()})
        rng.shuffle(updates)
    assert tables[0] == tables[1] == tables[2]


@given(
    st.lists(st.tuples(st.one_of(gossip_updates, st.none()), st.integers(0, GONE_RETENTION_NS)), max_size=25)
)
def test_cached_present_members_match_the_table_after_changes(
    updates: list[tuple[GossipUpdate | None, int]],
) -> None:
    """The cache is never stale, whether a member is added, gone, replaced or removed."""
    member_table = MemberTable(OWN_UPDATE, 1)
    now = 0
    for each, elapsed in updates:
        now += elapsed
        if each is None:
            member_table.remove_expired(now)
        else:
            member_table.apply(now, each, "x")
        present = [entry for entry in member_table.by_name.values() if entry.update.state <= State.SUSPECT]
        assert member_table.present() == present
        assert member_table.present_count() == 1 + len(present)
        member_table.present().clear()  # the caller owns the returned list


def test_member_refutes_updates_about_itself_by_new_incarnation() -> None:
    """Updates of old incarnations or former processes are ignored; a newer process is recorded."""
    member_table = MemberTable(OWN_UPDATE, 10)
    for incarnation, state in enumerate((State.SUSPECT, State.DEAD, State.SUSPECT)):
        assert member_table.apply(0, make_update("me", 10, incarnation, state), "x")
        own = member_table.own_update
        assert (own.incarnation, own.state) == (incarnation + 1, State.ALIVE)
    assert not member_table.apply(0, make_update("me", 10, 0, State.DEAD), "x"), "the update is outdated"
    assert not member_table.apply(0, make_update("me", 9, 5, State.DEAD), "x"), "it is on a former process"
    assert member_table.newer_process is None
    assert not member_table.apply(0, make_update("me", 11), "x") and member_table.newer_process is not None


def test_full_table_evicts_the_member_gone_longest() -> None:
    """A new member replaces a gone one, and is rejected where all members are present."""
    member_table = MemberTable(OWN_UPDATE, 3)
    for number in range(6):
        state = State.DEAD if number in (1, 2) else State.ALIVE
        member_table.apply(number, make_update(f"m{number}", state=state), "x")
    assert member_table.apply(9, make_update("new"), "x")
    assert "m1" not in member_table.by_name and "m2" in member_table.by_name
    assert member_table.apply(9, make_update("newer"), "x") and len(member_table.by_name) == 6
    assert not member_table.apply(9, make_update("none"), "x") and member_table.rejected_updates == 1


def test_gossip_sends_each_update_a_bounded_number_of_times() -> None:
    """Updates that were sent least often go first, and each leaves the queue after six transmissions."""
    queue = GossipQueue()
    for number in range(MAX_UPDATES_PER_MESSAGE + 3):
        queue.add(make_update(f"m{number}"))
    first = queue.next_updates(10)
    second = queue.next_updates(10)
    assert len(first) == MAX_UPDATES_PER_MESSAGE
    assert {update.name for update in second} > {
        f"m{n}" for n in range(MAX_UPDATES_PER_MESSAGE, MAX_UPDATES_PER_MESSAGE + 3)
    }
    transmissions = sum(len(queue.next_updates(10)) for _ in range(50)) + len(first) + len(second)
    assert not len(queue) and transmissions == 6 * (MAX_UPDATES_PER_MESSAGE + 3)


def test_prober_probes_in_turn_and_late_ticks_worsen_health() -> None:
    """Each member is probed once before any is probed again."""
    prober, candidates = Prober(300 * MS, random.Random(1)), [(f"m{n}", 1) for n in range(5)]
    probed: list[MemberId] = []
    for turn in range(10):
        assert prober.start_interval(turn * 300 * MS)
        probe = prober.start_next(turn * 300 * MS, candidates)
        assert probe is not None and prober.record_ack(probe.sequence) == (probe.member_id, True)
        probed.append(probe.member_id)
    assert sorted(probed[:5]) == sorted(probed[5:]) == candidates and prober.health == 0
    assert prober.start_interval(10 * SECOND) and prober.health == 1 and prober.timeout_factor() == 2


def test_failed_probe_without_nacks_worsens_own_health() -> None:
    """Where no helper answers at all, the fault may lie in the probing process."""
    prober = Prober(300 * MS, random.Random(1))
    for turn in range(2 * MAX_HEALTH):
        probe = prober.start(0, ("a", 1))
        assert probe is not None and prober.make_indirect(100 * SECOND) == [probe]
        probe.helpers = 3
        if turn % 4 == 3:
            prober.record_nack(probe.sequence)
        before = prober.health
        assert prober.take_failed(100 * SECOND) == [("a", 1)]
        assert prober.health == (before if turn % 4 == 3 else min(MAX_HEALTH, before + 1))


def test_member_is_slow_only_when_enough_others_report_it() -> None:
    """A single reporter is not enough, and reports expire."""
    slowness = Slowness()
    slowness.record_report(0, "a", True)
    assert not slowness.is_slow(0, 4, 0)
    slowness.record_report(SECOND, "b", True)
    assert slowness.is_slow(SECOND, 4, 0)
    assert slowness.is_slow(2 * SECOND, 4, 0) and not slowness.is_slow(9 * SECOND, 4, 0)
    found = [slowness.record_answer(n * 300 * MS, "c", n < 6) for n in range(20)]
    assert found.count(True) >= 1 and found.count(False) == 1 and found.index(True) < found.index(False)


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 10**6), st.booleans())
def test_no_slot_is_usable_at_two_members(seed: int, successor: bool) -> None:
    """Members with drifting clocks request slots while grants are lost or delayed.

    One coordinator grants the slots, and in half of the cases its successor follows.
    """
    rng = random.Random(seed)
    members = {(f"m{n}", 1): SlotLease() for n in range(rng.randint(2, 6))}
    clock_rates = {member_id: rng.uniform(0.99, 1.01) for member_id in members}
    leases, now = SlotLeases(0, (1, 0), LEASE_DURATION_NS), 0
    epoch: Epoch = (1, 0)
    delayed_grants: list[tuple[MemberId, tuple[int, Epoch, int, int]]] = []
    for step in range(120):
        now += rng.randint(1 * MS, 300 * MS)
        if successor and step == 60:
            epoch, leases = (2, 1), SlotLeases(now, (2, 1), LEASE_DURATION_NS)
        member_id = rng.choice(list(members))
        lease, own_now = members[member_id], int(now * clock_rates[member_id])
        if lease.start_request(epoch):
            target = rng.choice(
                [0, slots_of((rng.randrange(6), 6)), slots_of((rng.randrange(2), 2)), ALL_SLOTS]
            )
            serial, slots = leases.grant(now, member_id, target, lease.serial, lease.usable_slots(own_now))
            if rng.random() < 0.7:
                delayed_grants.append((member_id, (own_now, epoch, serial, slots)))
        rng.shuffle(delayed_grants)
        while delayed_grants and rng.random() < 0.6:
            holder, grant = delayed_grants.pop()
            members[holder].accept(int(now * clock_rates[holder]), *grant, LEASE_DURATION_NS)
        usable = [each.usable_slots(int(now * clock_rates[name])) for name, each in members.items()]
        assert sum(slots.bit_count() for slots in usable) == reduce(or_, usable).bit_count()


def test_lease_shrinks_at_once_and_grows_after_release() -> None:
    """A lease grows only when the other holder is known to have shrunk, or its grant has expired."""
    leases, a, b = SlotLeases(0, (1, 0), LEASE_DURATION_NS), ("a", 1), ("b", 1)
    half = slots_of((0, 2))
    now = grantor_duration_ns(LEASE_DURATION_NS)  # all leases of a predecessor have expired by now
    serial, slots = leases.grant(now, a, ALL_SLOTS, 0, 0)
    assert slots == ALL_SLOTS and leases.grant(now, b, half, 0, 0)[1] == 0
    # Member a is granted less, but is not yet known to have received this grant.
    next_serial, reduced = leases.grant(now, a, ALL_SLOTS ^ half, serial, slots)
    assert reduced == ALL_SLOTS ^ half and leases.grant(now, b, half, 0, 0)[1] == 0
    leases.grant(now, a, ALL_SLOTS ^ half, next_serial, reduced)
    assert leases.grant(now, b, half, 0, 0)[1] == half
    # Member a sends no more requests: b gets all slots once a's grant has certainly expired, not before.
    assert leases.grant(now + grantor_duration_ns(LEASE_DURATION_NS) - 1, b, ALL_SLOTS, 0, 0)[1] == half
    assert leases.grant(now + grantor_duration_ns(LEASE_DURATION_NS), b, ALL_SLOTS, 0, 0)[1] == ALL_SLOTS


def test_grant_counts_from_request_and_older_grants_are_rejected() -> None:
    """The holder counts a lease from before its request, and rejects older serials and epochs."""
    lease = SlotLease()
    assert lease.start_request((1, 0)) and lease.accept(900 * MS, 0, (1, 0), 2, 50, RENEWAL_SPAN_NS)
    assert lease.usable_slots(holder_duration_ns(RENEWAL_SPAN_NS) - 1) == 50 and lease.usable_slots(
        holder_duration_ns(RENEWAL_SPAN_NS)
    ) == 0 < RENEWAL_SPAN_NS - holder_duration_ns(RENEWAL_SPAN_NS)
    for serial in (1, 2):
        assert not lease.accept(SECOND, SECOND, (1, 0), serial, 99, RENEWAL_SPAN_NS)
    assert lease.start_request((2, 0)) and lease.usable_slots(SECOND) == 50, "the lease has not expired"
    assert not lease.accept(SECOND, SECOND, (1, 0), 9, 99, RENEWAL_SPAN_NS) and not lease.start_request(
        (1, 9)
    )


def test_lease_is_usable_only_in_contact_with_a_seed() -> None:
    """Contact with a seed that knows of the lease extends it, up to the end of the grant."""
    lease = SlotLease()
    assert lease.start_request((1, 0)) and lease.accept(0, 0, (1, 0), 1, 50, 10 * RENEWAL_SPAN_NS)
    assert lease.usable_slots(CONTACT_TIMEOUT_NS - 1) == 50 and lease.usable_slots(CONTACT_TIMEOUT_NS) == 0
    lease.extend_contact(RENEWAL_SPAN_NS)
    assert (
        lease.usable_slots(RENEWAL_SPAN_NS + CONTACT_TIMEOUT_NS - 1) == 50
        and lease.usable_slots(RENEWAL_SPAN_NS + CONTACT_TIMEOUT_NS) == 0
    )
    for at in range(0, 20 * RENEWAL_SPAN_NS, RENEWAL_SPAN_NS // 2):
        lease.extend_contact(at)
    assert (
        lease.usable_slots(holder_duration_ns(10 * RENEWAL_SPAN_NS) - 1) == 50
        and lease.usable_slots(holder_duration_ns(10 * RENEWAL_SPAN_NS)) == 0
    )


def test_new_coordinator_grants_only_slots_known_to_be_free() -> None:
    """Slots that its predecessors may have granted stay unused until those leases have expired.

    Where all seeds have restarted, this takes only the contact timeout.
    """
    leases, a, b, c = SlotLeases(0, (2, 0), LEASE_DURATION_NS), ("a", 1), ("b", 1), ("c", 1)
    first, half, second = slots_of((0, 3)), slots_of((0, 6)), slots_of((1, 3))
    assert leases.grant(0, a, half, 0, first)[1] == half
    assert leases.grant(MS, c, ALL_SLOTS, 0, 0)[1] == 0, "a is not known to have received its smaller grant"
    assert leases.grant(2 * MS, a, half, 1, half)[1] == half
    serial, slots = leases.grant(3 * MS, c, ALL_SLOTS, 2, 0)
    assert slots == first ^ half, "a released these; members without a request may hold all others"
    assert (
        leases.held_by_others(3 * MS, (a, c)) == ALL_SLOTS ^ first
        and leases.held_by_others(3 * MS, (a, b, c)) == 0
    )
    assert leases.grant(4 * MS, b, second, 0, second)[1] == second
    assert leases.grant(grantor_duration_ns(LEASE_DURATION_NS) - 1, c, ALL_SLOTS, serial, slots)[1] == slots
    assert (
        leases.grant(grantor_duration_ns(LEASE_DURATION_NS), c, ALL_SLOTS, serial + 2, slots)[1]
        == ALL_SLOTS ^ half ^ second
    )
    restarted = SlotLeases(0, (2, 0), LEASE_DURATION_NS)
    restarted.all_seeds_restarted(0)
    assert restarted.grant(grantor_duration_ns(RENEWAL_SPAN_NS) - 1, a, ALL_SLOTS, 0, 0)[1] == 0
    assert restarted.grant(grantor_duration_ns(RENEWAL_SPAN_NS), a, ALL_SLOTS, 1, 0)[1] == ALL_SLOTS


def test_slot_ranges_of_positions_partition_all_slots() -> None:
    """The slot sets also survive encoding, formatting and parsing."""
    for position_count in (1, 3, 7, 40, 1000):
        ranges = [slots_of((n, position_count)) for n in range(position_count)]
        assert sum(each.bit_count() for each in ranges) == SLOT_COUNT and reduce(or_, ranges) == ALL_SLOTS
        assert all(each for each in ranges)
    assert slots_of((-1, 0)) == slots_of((3, 3)) == 0
    mixed = slots_of((1, 7)) | slots_of((4, 7)) | 1 << SLOT_COUNT - 1
    assert slots_from_bytes(slots_to_bytes(mixed)) == mixed and slots_from_bytes(b"") == 0
    assert slots_from_bytes(b"\xff" * 500) == ALL_SLOTS, "there are no more slots than these"
    assert (
        format_slots(0) == ""
        and format_slots(ALL_SLOTS) == f"0-{SLOT_COUNT - 1}"
        and format_slots(0b1101) == "0-0,2-3"
    )
    assert membership_records.parse_slots(format_slots(mixed)) == mixed
    assert lowest_slots(0b1101, 2) == 0b101 and lowest_slots(0b1101, 9) == 0b1101


@given(st.integers(1, 12), st.integers(0, 6), st.sets(st.integers(0, 11)), st.randoms(use_true_random=False))
def test_allocation_is_complete_even_by_position_and_stable(
    position_count: int, unpositioned: int, vacant: set[int], rng: random.Random
) -> None:
    """Members keep the slots of their position, and a second allocation moves few slots."""
    members = [(f"m{n}", 1) for n in range(position_count) if n not in vacant]
    members += [(f"x{n}", 1) for n in range(unpositioned)]
    positions = {(f"m{n}", 1): (n, position_count) for n in range(position_count)}
    free = ALL_SLOTS & ~reduce(
        or_, [slots_of((n, position_count)) for n in vacant if n < position_count and rng.random() < 0.5], 0
    )
    allocation = allocate(members, positions, {}, free)
    if not members:
        return
    counts = [each.bit_count() for each in allocation.values()]
    assert sum(counts) == free.bit_count() and reduce(or_, allocation.values()) == free
    minimum = free.bit_count() // len(members)
    assert min(counts) >= minimum - 1
    width = -(-SLOT_COUNT // position_count)
    assert max(counts) <= max(minimum + 1, width)
    for member_id, slots in allocation.items():
        kept = (slots & slots_of(positions.get(member_id, (-1, 0)))).bit_count()
        assert kept >= min(minimum, slots_of(positions.get(member_id, (-1, 0))).bit_count()) - 1
    second = allocate(members, positions, allocation, free)
    moved = sum((second[member_id] & ~slots).bit_count() for member_id, slots in allocation.items())
    assert moved <= 2 * len(members)


def message(**changes: object) -> MemberMessage:
    """Returns a ping whose fields are replaced by `changes`."""
    fields: dict[str, object] = {
        "fleet": "f",
        "name": "a",
        "created_at_ms": 1,
        "body": Ping(3, ("b", 2)),
        "digest": 7,
    }
    return MemberMessage(**{**fields, **changes})  # type: ignore[arg-type]


def test_invalid_datagrams_are_counted_and_dropped() -> None:
    """Corrupted, foreign and wrongly signed datagrams, and those of another fleet, are never accepted."""
    keyed, wire = Wire("f", Keys(b"k" * 16), 8), Wire("f", Keys(), 8)
    data = keyed.pack(message())
    assert keyed.unpack(data) == message() and wire.unpack(data) is None
    rng = random.Random(1)
    for _ in range(300):
        corrupted = bytearray(data)
        corrupted[rng.randrange(len(corrupted))] ^= 1 << rng.randrange(8)
        assert keyed.unpack(bytes(corrupted)) is None
        assert wire.unpack(rng.randbytes(rng.randrange(60))) is None
        payload = rng.randbytes(rng.randrange(40))
        assert wire.unpack(b"ts\x01" + wire.keys.sign(payload) + payload) is None
    assert wire.unpack(Wire("other", Keys(), 8).pack(message(fleet="other"))) is None
    assert {"digest", "foreign", "spoilt", "another fleet"} == set(wire.dropped)


def test_keys_change_in_service_through_the_previous_key() -> None:
    """A member with both keys understands members with either key, while the key changes."""
    old, both, new = (Wire("f", k, 8) for k in (Keys(b"o" * 16), Keys(b"n" * 16, b"o" * 16), Keys(b"n" * 16)))
    assert both.unpack(old.pack(message())) and both.unpack(new.pack(message()))
    assert new.unpack(both.pack(message()))
    assert old.unpack(new.pack(message())) is None and new.unpack(old.pack(message())) is None


def test_datagrams_and_tables_stay_within_their_bounds() -> None:
    """A datagram leaves out updates and views that do not fit; the largest table is under its limit."""
    wire = Wire("f", Keys(), 64)
    updates = tuple(make_update(f"gateway-with-a-long-name-{n:03d}", 1_790_000_000_000) for n in range(40))
    data = wire.pack(message(updates=updates))
    decoded = wire.unpack(data)
    assert len(data) <= MAX_DATAGRAM_BYTES and decoded is not None and 8 <= len(decoded.updates) < 40
    view = View((1, 2, 3), (1, 2, 2), tuple((f"gateway-{n:050d}", 1_790_000_000_000) for n in range(30)))
    decoded = wire.unpack(wire.pack(message(body=ViewAnnouncement(view.number, view))))
    assert decoded is not None and decoded.body == ViewAnnouncement(view.number, None)
    table = TableSnapshot("f", "a", 1, updates, view, None)
    packed = wire.pack_table(table)
    assert wire.unpack_table(packed[4:]) == table and int.from_bytes(packed[:4]) == len(packed) - 4
    assert len(packed) < wire.max_table_bytes


@pytest.mark.parametrize(
    "text, expected",
    [
        ('listen = "127.0.0.1:1"', "fleet.name: must be a name when fleet.listen is set, got nothing"),
        ('name = "a b"', "fleet.name: must be str matching regex '^[A-Za-z0-9_.-]{0,64}$', got 'a b'"),
        ('name = "f"', "fleet.listen: must be host:port when fleet.name is set, got nothing"),
        (
            'name = "f"\nlisten = "127.0.0.1:1"',
            "fleet.seeds: must be 1 to 9 addresses, preferably 3 or 5, got 0",
        ),
        (
            'name = "f"\nlisten = "127.0.0.1:1"\nseeds = ["no.example:1"]',
            "fleet.seeds[0]: must be an IP address and a port, such as 127.0.0.1:7400, because names are not "
            "resolved, got 'no.example:1'",
        ),
        (
            'name = "f"\nlisten = "127.0.0.1:0"\nseeds = ["127.0.0.1:1"]',
            "fleet.listen: must have a port from 1 to 65535, got port 0",
        ),
        (
            'name = "f"\nlisten = "0.0.0.0:7"\nseeds = ["127.0.0.1:1"]',
            "must be an address that others can reach, got '0.0.0.0:7'",
        ),
        (
            'name = "f"\nlisten = "127.0.0.1:1"\nseeds = ["127.0.0.1:1", "127.0.0.1:1"]',
            "fleet.seeds: must not contain a value twice",
        ),
        (
            'name = "f"\nlisten = "127.0.0.1:1"\nseeds = ["127.0.0.1:1"]\nprevious = "x"',
            "fleet.key: must be a file when fleet.previous is set, got nothing",
        ),
        ("period_ms = 0", "fleet.period_ms: must be float >= 50.0, got 0"),
    ],
)
def test_invalid_fleet_table_gives_a_one_line_error(text: str, expected: str) -> None:
    with pytest.raises(ConfigError, match=r"^f: ") as raised:
        parse(f"[fleet]\n{text}\n", "f")
    assert expected in str(raised.value) and "\n" not in str(raised.value)


def test_missing_or_short_key_file_gives_one_line_error(tmp_path: Path) -> None:
    short = tmp_path / "short"
    short.write_bytes(b"secret\n")
    with pytest.raises(ConfigError, match=r"fleet.key: .*none: No such file"):
        read_keys(Fleet(key=str(tmp_path / "none")))
    with pytest.raises(ConfigError, match=r"fleet.key: .*short: must hold at least 16 bytes, got 6"):
        read_keys(Fleet(key=str(short)))


def settled_world(count: int, seed: int = 1, seeds: int = 3) -> World:
    """Returns a fleet in virtual time whose members all hold one view and all slots."""
    world = World(seed, count, seeds)
    world.start_all(6 * SECOND)
    return world
