"""For all tests: bounds on log lines begin anew with each, whatever other tests have logged before it."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from trackspread.logs import RateLimitFilter


@pytest.fixture(autouse=True)
def fresh_bounds_on_lines() -> Iterator[None]:
    """Else a test that reads the log would hang on how many lines others have written within 10 s."""
    for logger in logging.Logger.manager.loggerDict.values():
        if isinstance(logger, logging.Logger):
            for each in logger.filters:
                if isinstance(each, RateLimitFilter):
                    each.reset()
    yield
