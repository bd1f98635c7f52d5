"""Tests a gateway with one setting at a time at its bound: it serves on sockets and logs no error."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from trackspread.config.addresses import ConfigError
from trackspread.testing.standins.settings import plan_settings

from ..fakes import call, config, run, served, soon, world

SECOND = 1_000_000_000
BOUNDS: list[dict[str, Any]] = [
    {"limits__connIdle": 0},
    {"limits__connIdle": 1},
    {"limits__connectTimeout": 0},
    {"limits__connectTimeout": 1},
    {"limits__maxAttempts": 1},
    {"limits__maxRetryAfter": 0},
    {"limits__retryAfter": False},
    {"rules__drainGrace": 0},
    {"rules__fallMultiple": 0},
    {"rules__startCapacity": 0},
    {"rules__warmUp": 0},
    {"rules__askWithin": 0},
    {"zones": []},
    {"kinds": []},
    {"replicasOfMe": 10**6},
    {"familyInfo__largest": 0},
    {"familyInfo__mailPerS": 0},
    {"familyInfo__counter": True},
    {"familyInfo__usePeriod": SECOND},
    {"discovery": "on_request"},
    {"report": {"how": "none", "names": []}},
    {"prices__crossZone": 0},
    {"packages": [plan_settings("team", 0.0, 0.0)]},
    {"packages": [plan_settings("team", 1e12, 1e12)]},
]


@pytest.mark.parametrize("setting", BOUNDS, ids=lambda setting: next(iter(setting)))
def test_gateway_serves_with_one_setting_at_its_bound(
    setting: dict[str, Any], caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with world(**setting) as w:
            client = await w.client()
            for number in range(3):
                client.send(call(number=number))
                connection, _ = await w.backend.command()
                connection.send(served(b"v"))
                assert await soon(client.next()) == b"v"
            await asyncio.sleep(0)
            assert not [r for r in caplog.records if r.exc_info or r.levelno >= logging.ERROR], caplog.text

    run(test)


@pytest.mark.parametrize(
    ("setting", "text"),
    [
        ({"rules__fall": 0}, "settings.rules.fall: must be finite and at least 1, got 0.0"),
        ({"replicasOfMe": 0}, "settings.replicasOfMe: "),
        ({"limits__maxAttempts": 0}, "settings.limits.maxAttempts: "),
    ],
)
def test_invalid_setting_is_named_by_its_key(setting: dict[str, Any], text: str) -> None:
    with pytest.raises(ConfigError) as error:
        config(1, None, **setting)
    assert str(error.value).startswith(text) and "\n" not in str(error.value)
