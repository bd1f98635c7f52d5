"""Tests reloads of the settings: class numbers, the decision module's rules, and files that are rejected."""

from __future__ import annotations

import json
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from trackspread.config.roster import Roster, classes_changed
from trackspread.decide.broker import Broker
from trackspread.decide.actions import Action, Fail, Reject, StartAttempt
from trackspread.decide.events import AttemptEnded, Outcome
from trackspread.decide.settings import Idempotency

from ..fakes import call, nested_settings, raw_config, run, served
from ..helpers import CLASSES, KEYED, MS, SAFE, SECOND, UNSAFE, arrival, backend, full_list, settings
from .test_gateway_process import Process, running

NAMES = (b"read", b"submit", b"charge")


def test_class_number_is_reused_only_after_its_last_request() -> None:
    """Guards against open requests that continue under another class's rules."""
    first = Roster.initial(NAMES, CLASSES)
    other = replace(CLASSES[0], name="other", latency_objective_ns=5)
    without, predecessors = first.reload((b"charge", b"read"), (CLASSES[2], CLASSES[0]), {KEYED})
    # The order of the classes has no effect.
    assert without.numbers() == {b"charge": UNSAFE, b"read": SAFE} and predecessors == (0, 1, 2)
    held, predecessors = without.reload((b"other", b"read"), (other, CLASSES[0]), {KEYED, UNSAFE})
    assert held.numbers() == {b"other": 3, b"read": SAFE} and predecessors == (0, 1, 2, -1)
    assert held.rules[KEYED] == CLASSES[KEYED]  # the requests that use it keep its rules
    free, predecessors = held.reload((b"submit", b"read", b"other"), (CLASSES[1], CLASSES[0], other), set())
    assert free.numbers() == {b"submit": 1, b"read": SAFE, b"other": 3} and predecessors == (0, -1, 2, 3)


def test_changed_class_gets_a_new_number_and_keeps_statistics() -> None:
    roster, predecessors = Roster.initial(NAMES, CLASSES).reload(
        NAMES, (replace(CLASSES[0], idempotency=Idempotency.NOT_IDEMPOTENT), *CLASSES[1:]), set()
    )
    assert roster.numbers()[b"read"] == 3 and predecessors == (0, 1, 2, 0)
    assert roster.rules[0].idempotency is Idempotency.IDEMPOTENT


def ended(actions: list[Action], number: int, attempt: int, outcome: Outcome) -> AttemptEnded:
    sent = next(action for action in actions if isinstance(action, StartAttempt))
    return AttemptEnded(number, False, 0, sent.backend, 0, outcome, 20 * MS, attempt, ())


@pytest.mark.parametrize("shifted", [False, True])
def test_open_requests_keep_their_class_and_attempts_after_reload(shifted: bool) -> None:
    """Guards against class numbers that follow the order in the file; `shifted` plants this fault."""
    module, now = Broker(settings(max_attempts=4), 1, 0), SECOND
    module.handle(now, full_list(*(backend(n) for n in range(4))))
    before = module.handle(now, arrival(1, now, SAFE))
    roster = Roster.initial(NAMES, CLASSES)
    change_event, unsafe_now = (
        classes_changed(*roster.reload(NAMES[:0:-1], CLASSES[:0:-1], {SAFE}), 1),
        UNSAFE,
    )
    if shifted:
        change_event, unsafe_now = classes_changed(Roster.initial(NAMES[:0:-1], CLASSES[:0:-1]), (2, 1), 1), 0
    module.handle(now, change_event)
    lost = module.handle(now + 30 * MS, ended(before, 1, 0, Outcome.RESET))
    # The request is idempotent and has at most four attempts.
    assert any(isinstance(action, StartAttempt) for action in lost) is not shifted
    unsafe = module.handle(now, arrival(2, now, unsafe_now))
    end = module.handle(now + 60 * MS, ended(unsafe, 2, 0, Outcome.RESET))
    assert [type(action) for action in end] == [Fail]
    harmless = module.handle(now, arrival(3, now, unsafe_now))
    end = module.handle(now + 90 * MS, ended(harmless, 3, 0, Outcome.REJECTED))
    assert [type(action) for action in end] == [Reject]  # the new settings allow one attempt


async def write_and_reload(p: Process, raw: Any, text: bytes) -> None:
    p.path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    p.process.send_signal(signal.SIGHUP)
    await p.logged(text)


def test_classes_change_while_their_requests_are_open(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            raw = json.loads(p.path.read_text())
            classes = raw["settings"]["classes"]
            added = {**classes[0], "name": "submit", "idempotency": "single_shot"}
            client, other = await p.client(), await p.client()
            client.send(call("submit", 1, body=b"b"))
            held, _ = await p.backend.command()
            raw["settings"]["classes"] = [added, classes[0]]  # charge is removed, submit has other rules
            await write_and_reload(p, raw, b"classes changed: 2 active")
            other.send(call("charge", 2, body=b"b"))
            assert b"unknown class" in str(await other.next()).encode()
            other.send(call("submit", 3, body=b"b"))
            fresh, arguments = await p.backend.command()
            assert arguments[2] == b"%016x" % 3
            # Backends may have processed both: the request with an idempotency key is retried, the other one
            # fails. They end one after the other, because two lost connections in a row would eject the only
            # backend, and then nothing could be retried.
            held.abort()
            again, arguments = await p.backend.command()
            assert arguments[2] == b"%016x" % 1
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
    ("raw", "text"),
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
        (_broken(classes=2 * nested_settings()["classes"]), "must not contain a name twice"),
    ],
)
def test_unusable_file_is_rejected_entirely(tmp_path: Path, raw: Any, text: str) -> None:
    from trackspread.config.addresses import ConfigError
    from trackspread.config.platform import reload

    path = tmp_path / "config.json"
    path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
    with pytest.raises(ConfigError, match=text):
        reload({"ROUTER_CONFIG": str(path)})
