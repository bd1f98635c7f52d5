"""Tests the limits on log lines that clients and backends cause."""

from __future__ import annotations

import logging

import pytest

from trackspread.backends.connection import log as connections_log
from trackspread.backends.pools import log as pools_log
from trackspread.fronts.client import log as clients_log
from trackspread.logs import INTERVAL_S, MAX_LINES, RateLimitFilter


def test_log_lines_above_the_rate_are_dropped_and_counted(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    clock = [1000.0]
    monkeypatch.setattr("trackspread.logs.time.monotonic", lambda: clock[0])
    log = logging.getLogger("test.flood")
    log.addFilter(RateLimitFilter())
    for number in range(500):
        log.warning("spoilt %d", number)
    assert len(caplog.messages) == MAX_LINES
    clock[0] += INTERVAL_S
    log.warning("spoilt %s", "again")
    assert caplog.messages[MAX_LINES:] == [f"spoilt again ({500 - MAX_LINES} similar lines suppressed)"]


def test_logs_of_clients_and_backends_are_rate_limited() -> None:
    for log in (connections_log, pools_log, clients_log):
        assert any(isinstance(one, RateLimitFilter) for one in log.filters)
