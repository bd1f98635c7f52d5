"""Settings that change in service: numbers of classes, the module's rules, files taken or turned down."""

from __future__ import annotations

import json
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from trackspread.config.roster import Roster, change
from trackspread.decide.broker import Broker
from trackspread.decide.actions import Action, Fail, Reject, StartAttempt
from trackspread.decide.events import AttemptEnded, Outcome
from trackspread.decide.settings import Idempotency

from ..fakes import call, nested_settings, raw_config, run, served
from ..helpers import CLASSES, KEYED, MS, SAFE, SECOND, UNSAFE, arrival, backend, full_list, settings
from .test_gateway_process import Process, running

NAMES = (b"read", b"submit", b"charge")


def test_a_number_goes_to_another_class_only_once_no_request_holds_it() -> None:
    first = Roster.first(NAMES, CLASSES)
    other = replace(CLASSES[0], name="other", latency_objective_ns=5)
    without, heirs = first.follow((b"charge", b"read"), (CLASSES[2], CLASSES[0]), {KEYED})
    assert without.numbers() == {b"charge": UNSAFE, b"read": SAFE} and heirs == (0, 1, 2)  # order is nothing
    held, heirs = without.follow((b"other", b"read"), (other, CLASSES[0]), {KEYED, UNSAFE})
    assert held.numbers() == {b"other": 3, b"read": SAFE} and heirs == (0, 1, 2, -1)
    assert held.rules[KEYED] == CLASSES[KEYED]  # whoever holds it keeps its rules
    free, heirs = held.follow((b"submit", b"read", b"other"), (CLASSES[1], CLASSES[0], other), set())
    assert free.numbers() == {b"submit": 1, b"read": SAFE, b"other": 3} and heirs == (0, -1, 2, 3)


def test_a_class_whose_rules_change_has_another_number_and_the_same_past() -> None:
    roster, heirs = Roster.first(NAMES, CLASSES).follow(
        NAMES, (replace(CLASSES[0], idempotency=Idempotency.NOT_IDEMPOTENT), *CLASSES[1:]), set()
    )
    assert roster.numbers()[b"read"] == 3 and heirs == (0, 1, 2, 0)
    assert roster.rules[0].idempotency is Idempotency.IDEMPOTENT


def ended(actions: list[Action], number: int, attempt: int, outcome: Outcome) -> AttemptEnded:
    sent = next(action for action in actions if isinstance(action, StartAttempt))
    return AttemptEnded(number, False, 0, sent.backend, 0, outcome, 20 * MS, attempt, ())


@pytest.mark.parametrize("shifted", [False, True])
def test_open_requests_keep_class_and_attempts_and_new_ones_have_the_new(shifted: bool) -> None:
    """`shifted` plants the breach that this guards against: numbers that follow the file's order."""
    module, now = Broker(settings(max_attempts=4), 1, 0), SECOND
    module.handle(now, full_list(*(backend(n) for n in range(4))))
    before = module.handle(now, arrival(1, now, SAFE))
    roster = Roster.first(NAMES, CLASSES)
    told, unsafe_now = change(*roster.follow(NAMES[:0:-1], CLASSES[:0:-1], {SAFE}), 1), UNSAFE
    if shifted:
        told, unsafe_now = change(Roster.first(NAMES[:0:-1], CLASSES[:0:-1]), (2, 1), 1), 0
    module.handle(now, told)
    lost = module.handle(now + 30 * MS, ended(before, 1, 0, Outcome.RESET))
    assert any(isinstance(action, StartAttempt) for action in lost) is not shifted  # safe, four times at most
    unsafe = module.handle(now, arrival(2, now, unsafe_now))
    end = module.handle(now + 60 * MS, ended(unsafe, 2, 0, Outcome.RESET))
    assert [type(action) for action in end] == [Fail]
    harmless = module.handle(now, arrival(3, now, unsafe_now))
    end = module.handle(now + 90 * MS, ended(harmless, 3, 0, Outcome.REJECTED))
    assert [type(action) for action in end] == [Reject]  # one attempt by the new settings


async def reread(p: Process, raw: Any, words: bytes) -> None:
    p.path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    p.process.send_signal(signal.SIGHUP)
    await p.logged(words)


def test_a_class_is_added_and_dropped_while_its_requests_are_open(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            raw = json.loads(p.path.read_text())
            classes = raw["settings"]["classes"]
            added = {**classes[0], "name": "submit", "idempotency": "single_shot"}
            client, other = await p.client(), await p.client()
            client.send(call("submit", 1, body=b"b"))
            held, _ = await p.backend.command()
            raw["settings"]["classes"] = [added, classes[0]]  # charge is dropped, submit has other rules
            await reread(p, raw, b"classes changed: 2 active")
            other.send(call("charge", 2, body=b"b"))
            assert b"unknown class" in str(await other.next()).encode()
            other.send(call("submit", 3, body=b"b"))
            fresh, words = await p.backend.command()
            assert words[2] == b"%016x" % 3
            # Both may have run: the keyed one goes on, the one shot fails. One after the other, as two breaks
            # in a row suspend the only backend, and then nothing can go on.
            held.abort()
            again, words = await p.backend.command()
            assert words[2] == b"%016x" % 1
            fresh.abort()
            assert "failed" in str(await other.next())
            again.send(served(b"v"))
            assert await client.next() == b"v"

    run(test)


def _broken(**changes: Any) -> dict[str, Any]:
    return raw_config(1) | {"settings": nested_settings(**changes)}


def _deadline(value: Any) -> dict[str, Any]:
    raw = raw_config(1)
    raw["settings"]["classes"][1]["deadline"] = value
    return raw


def _less(key: str) -> dict[str, Any]:
    return {k: v for k, v in raw_config(1).items() if k != key}


@pytest.mark.parametrize(
    ("raw", "words"),
    [
        ("", "Expecting value"),
        (json.dumps(raw_config(1))[:200], "ROUTER_CONFIG"),
        (_less("limits"), "limits"),
        (_less("discovery"), "discovery"),
        (_deadline(0), "classes.1.deadline"),
        (_deadline(-5), "classes.1.deadline"),
        (_deadline("2000000000"), "classes.1.deadline"),
        (_deadline(True), "classes.1.deadline"),
        (_deadline(None), "classes.1.deadline"),
        (_deadline(float("nan")), "classes.1.deadline"),
        (_deadline(float("inf")), "classes.1.deadline"),
        (_broken(limits__maxAttempts=0), "maxAttempts"),
        (_broken(limits__maxAttempts="4"), "maxAttempts"),
        (_broken(limits__maxAttempts=float("inf")), "maxAttempts"),
        (_broken(classes=[]), "classes"),
        (_broken(classes=2 * nested_settings()["classes"]), "a name stands twice"),
    ],
)
def test_a_file_that_cannot_be_used_is_turned_down_whole(tmp_path: Path, raw: Any, words: str) -> None:
    from trackspread.config.addresses import ConfigError
    from trackspread.config.platform import reload

    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    with pytest.raises(ConfigError, match=words):
        reload({"ROUTER_CONFIG": str(path)})
