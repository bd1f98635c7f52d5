"""Resets the rate limits of log lines before each test, so that no test depends on what others logged."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from trackspread.logs import RateLimitFilter


@pytest.fixture(autouse=True)
def reset_log_rate_limits() -> Iterator[None]:
    """Resets every rate limit of log lines.

    Without it, a test that reads the log would depend on how many lines other tests wrote within 10 s.
    """
    for logger in logging.Logger.manager.loggerDict.values():
        if isinstance(logger, logging.Logger):
            for log_filter in logger.filters:
                if isinstance(log_filter, RateLimitFilter):
                    log_filter.reset()
    yield
