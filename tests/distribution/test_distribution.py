"""Tests the log, the wire and single replicas of the configuration."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trackspread.distribution.log import Log, Snapshot
from trackspread.distribution.log import entries_that_fit
from trackspread.distribution.replica import Replica
from trackspread.decide.time_units import SECOND
from trackspread.distribution.actions import Send
from trackspread.distribution.messages import (
    BeginHistory,
    Committed,
    Delta,
    Message,
    Poll,
    Prepare,
    Put,
    TooManyKeys,
)
from trackspread.distribution.settings import ReplicaSettings
from trackspread.distribution.versions import (
    MAX_NAME_CHARACTERS,
    MAX_VALUE_BYTES,
    NO_VERSION,
    START,
    Cursor,
    Entry,
    Version,
)
from trackspread.membership.actions import StatusEvent
from trackspread.membership.identifiers import Epoch
from trackspread.distribution.wire import Wire
from trackspread.distribution.wire import MAGIC, MAX_DATAGRAM_BYTES
from trackspread.membership.wire import Keys

FIRST: Epoch = (1, 0)


def entry(
    sequence: int, key: str = "k", value: bytes | None = b"v", epoch: Epoch = FIRST, service: str = "s"
) -> Entry:
    return Entry(Version(1, epoch, sequence), service, key, value)


def filled_log(count: int, recent: int = 100, epoch: Epoch = FIRST) -> Log:
    """Returns a log with the entries 1 to `count`, all of them pending."""
    log = Log(recent)
    for sequence in range(1, count + 1):
        log.append(entry(sequence, f"k{sequence}", epoch=epoch))
    return log


def sequences(entries: list[Entry] | None) -> list[int] | None:
    return [each.version.sequence for each in entries] if entries is not None else None


def test_entry_that_does_not_follow_the_last_is_rejected() -> None:
    log = filled_log(2)
    for invalid in (entry(2), entry(4), entry(3, epoch=(0, 0))):
        with pytest.raises(ValueError, match="does not follow"):
            log.append(invalid)


def test_pending_entries_change_no_value_until_committed() -> None:
    log = filled_log(3)
    assert (len(log), log.committed, log.last.sequence) == (0, NO_VERSION, 3)
    assert sequences(log.commit(Version(1, FIRST, 2))) == [1, 2]
    assert (len(log), log.committed.sequence, len(log.pending)) == (2, 2, 1)
    assert log.commit(Version(1, FIRST, 1)) == [], "a commit is never taken back"
    assert sequences(log.commit(Version(1, FIRST, 9))) == [3], "nothing is committed beyond the last entry"


def test_deleting_the_last_key_removes_its_service() -> None:
    log = Log(10)
    changes = [("a", b"1"), ("b", b"2"), ("a", None), ("b", None), ("x", None)]
    for sequence, (key, value) in enumerate(changes, 1):
        log.append(entry(sequence, key, value))
        log.commit(log.last)
        pieces, end = log.next_piece(START, lambda service: True)
        assert end and [each.key for each in pieces] == [["a"], ["a", "b"], ["b"], [], []][sequence - 1]
    assert log.snapshot == {} and len(log) == 0


def test_accepted_entries_replace_only_pending_ones() -> None:
    """Entries are accepted only after a version that both logs have; committed entries stay."""
    log, newer = filled_log(4), (2, 1)
    log.commit(Version(1, FIRST, 2))
    assert not log.accept(Version(1, newer, 4), [entry(5, epoch=newer)])
    assert not log.accept(Version(1, FIRST, 5), [entry(6, epoch=newer)])
    assert log.accept(Version(1, FIRST, 3), [entry(4, "other", epoch=newer)])
    assert log.last == Version(1, newer, 4) and [each.key for each in log.pending] == ["k3", "other"]
    assert log.accept(Version(1, FIRST, 3), []), "a late message removes no entry"
    assert log.accept(Version(1, FIRST, 2), [entry(3, "k3")]) and log.last == Version(1, newer, 4)


def test_number_of_kept_committed_entries_is_bounded() -> None:
    log = filled_log(10, recent=3)
    log.commit(Version(1, FIRST, 8))
    assert sequences(log.committed_after(Version(1, FIRST, 5))) == [6, 7, 8]
    assert (
        log.committed_after(Version(1, FIRST, 4)) is None and log.entries_after(Version(1, FIRST, 4)) is None
    )
    assert sequences(log.entries_after(Version(1, FIRST, 6))) == [7, 8, 9, 10]
    assert sequences(log.entries_after(Version(1, FIRST, 9))) == [10]
    assert [n for n in range(1, 12) if log.holds(Version(1, FIRST, n))] == [5, 6, 7, 8, 9, 10]
    assert not log.holds(NO_VERSION) and not log.holds(Version(1, (1, 1), 7))


def test_snapshot_replaces_a_log_without_its_version() -> None:
    snapshot: Snapshot = {"s": {"z": entry(7, "z")}}
    short = filled_log(5)
    short.install(snapshot, Version(1, FIRST, 7))
    assert short.committed == short.last == Version(1, FIRST, 7) and short.snapshot == snapshot
    assert short.entries_after(short.committed) == [] and short.holds(short.committed) and not short.pending
    long = filled_log(9)
    long.install(snapshot, Version(1, FIRST, 7))
    assert (long.committed.sequence, long.last.sequence) == (7, 9), "entries after the snapshot stay"
    assert len(long) == 7


def test_datagram_holds_at_least_the_first_entry() -> None:
    large = [entry(n, value=b"x" * MAX_VALUE_BYTES) for n in range(1, 4)]
    assert entries_that_fit(large) == ((large[0],), True)
    assert entries_that_fit(large[:1]) == ((large[0],), False)
    assert entries_that_fit([]) == ((), False)


@given(st.integers(0, 1 << 32), st.integers(0, 120))
@settings(max_examples=60, deadline=None)
def test_pieces_together_are_the_snapshot_of_subscribed_services(seed: int, count: int) -> None:
    rng, log = random.Random(seed), Log(10)
    for sequence in range(1, count + 1):
        value = rng.choice([None, rng.randbytes(rng.randint(0, MAX_VALUE_BYTES))])
        log.append(entry(sequence, rng.choice("abcdefgh"), value, service=rng.choice(["s", "t", "u"])))
        log.commit(log.last)
    wanted, cursor, entries, end = {"s", "u"}, START, list[Entry](), False
    while not end:
        piece, end = log.next_piece(cursor, wanted.__contains__)
        entries += piece
        if piece:
            cursor = Cursor(piece[-1].service, piece[-1].key)
    expected = {s: keys for s, keys in log.snapshot.items() if s in wanted}
    found: Snapshot = {}
    for each in entries:
        found.setdefault(each.service, {})[each.key] = each
    assert found == expected and len(entries) == sum(map(len, expected.values()))


def test_only_valid_datagrams_are_decoded_to_their_messages() -> None:
    wire = Wire("fleet", Keys(b"a key of many bytes"))
    largest = entry(
        1 << 40, "k" * MAX_NAME_CHARACTERS, b"x" * MAX_VALUE_BYTES, (1 << 40, 18), "s" * MAX_NAME_CHARACTERS
    )
    for body in (
        Delta(1 << 40, largest.version, 1 << 30, (largest,), True),
        Put(7, "s", "k", None),
        Poll(1, NO_VERSION, 1 << 55, Cursor("s", "k")),
        Prepare((3, 4), 2, True),
    ):
        data = wire.pack(Message("fleet", 3, 1 << 42, body))
        assert len(data) <= MAX_DATAGRAM_BYTES
        assert wire.unpack(data) == Message("fleet", 3, 1 << 42, body)
        assert wire.unpack(data[:-1]) is None and wire.unpack(b"x" + data) is None
    assert Wire("fleet", Keys(b"another key, also long")).unpack(data) is None
    assert Wire("other", wire.keys).unpack(data) is None
    assert wire.unpack(wire.pack(Message("fleet", 0, 0, Put(1, "s", "k", b"x" * MAX_DATAGRAM_BYTES)))) is None
    assert Wire("fleet", Keys(b"a new key, current now", b"a key of many bytes")).unpack(data) is not None


class NewerPrepare(msgspec.Struct, frozen=True, array_like=True, tag="Prepare"):
    """Models `Prepare` with the fields that a newer version may have."""

    epoch: Epoch
    round: int
    begins_history: bool
    more: str = "unknown to older ones"


class Unknown(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Models a body that only a newer version has."""

    number: int


class NewerMessage(msgspec.Struct, frozen=True, array_like=True):
    """Models a message of a newer version."""

    fleet: str
    replica: int
    incarnation: int
    body: NewerPrepare | Unknown


def test_known_fields_of_newer_messages_are_read() -> None:
    """Additional fields of a known body are ignored; an unknown body is dropped."""
    wire = Wire("fleet", Keys())

    def packed(body: NewerPrepare | Unknown) -> bytes:
        payload = msgspec.msgpack.encode(NewerMessage("fleet", 1, 2, body))
        return MAGIC + wire.keys.sign(payload) + payload

    assert wire.unpack(packed(NewerPrepare((3, 1), 2, False))) == Message(
        "fleet", 1, 2, Prepare((3, 1), 2, False)
    )
    assert wire.unpack(packed(Unknown(1))) is None and wire.dropped == {"spoilt": 1}


def make_replica(number: int = 0, count: int = 3, keys: int = 10) -> Replica:
    addresses = tuple((f"10.0.0.{n}", 1) for n in range(count))
    return Replica(ReplicaSettings(number, 5, addresses, max_keys=keys), 0, 1)


def test_lease_of_a_superseded_epoch_does_not_lead() -> None:
    replica = make_replica()
    replica.on_message(0, 1, 1, Prepare((9, 1), 1, False), ("10.0.0.1", 1))
    assert (
        replica.set_leadership(0, (8, 0)) == [StatusEvent("outdone", {"by": (9, 1)})]
        and replica.leadership is None
    )
    assert replica.set_leadership(1, (8, 0)) == [], "the event is sent once"
    assert replica.set_leadership(2, (10, 0)) != [] and replica.leadership is not None
    replica.set_leadership(3, None)
    assert replica.set_leadership(4, (10, 0)) == [] and replica.leadership is None, (
        "an epoch that was given up is not led again"
    )


def test_number_of_keys_with_a_value_is_bounded() -> None:
    replica, client = make_replica(count=1, keys=3), ("10.0.0.9", 1)
    replica.set_leadership(0, (1, 0))
    replica.on_message(0, -1, 0, BeginHistory(1), client)
    for now in range(1, 10):
        replica.tick(now * SECOND)

    def put(key: str, value: bytes | None) -> object:
        actions = replica.on_message(20 * SECOND, -1, 0, Put(1, "s", key, value), client)
        return next(each.body for each in actions if isinstance(each, Send))

    answers = [put(key, b"v") for key in ("a", "b", "c")]
    assert all(isinstance(each, Committed) for each in answers)
    assert put("d", b"v") == TooManyKeys(1, 3) and isinstance(put("a", b"other"), Committed)
    assert isinstance(put("b", None), Committed) and isinstance(put("d", b"v"), Committed)
