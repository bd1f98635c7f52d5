"""Implements a pytest plugin for CI: only the tests in KNOWN-RED.txt may fail.

Each line of that file is `test, cause, issue`, with the test's full id (`tests/test_x.py::test_y[a]`) and the
issue's number. The file has at most three lines, and is absent when no test fails. `.ci/run` loads the plugin
in both runs of `make test`; `make test` alone does not load it and fails on any failing test.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_LINES = 3
LINE = re.compile(r"(?P<test>[^\s:]+\.py(::[^\s:,\[]+)+(\[.*?\])?), (?P<cause>\S.*), (issue )?(?P<issue>\d+)")
FORM = "`tests/test_x.py::test_y, cause, issue number`"
MISSING = "known_red_missing"  # Key of a worker's output: listed names that its collection does not have.


class KnownRedError(ValueError):
    """Reports a line that breaks one of the file's rules, with the file, the line and the rule."""


@dataclass(frozen=True)
class KnownRed:
    """Holds one line of the file."""

    test: str
    cause: str
    issue: int


def parse(text: str) -> list[KnownRed]:
    """Returns the entries of the file's text and skips empty lines. Raises KnownRedError on a broken rule."""
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        match = LINE.fullmatch(line)
        if match is None:
            raise KnownRedError(f"{FILE_NAME}: line {number}: must have the form {FORM}")
        if any(entry.test == match["test"] for entry in entries):
            raise KnownRedError(f"{FILE_NAME}: line {number}: {match['test']} is listed twice")
        if len(entries) == MOST_LINES:
            raise KnownRedError(f"{FILE_NAME}: line {number}: at most {MOST_LINES} tests may be listed")
        entries.append(KnownRed(match["test"], match["cause"], int(match["issue"])))
    return entries


def read(path: Path) -> list[KnownRed]:
    """Returns the entries of the file, or an empty list if it is absent."""
    return parse(path.read_text()) if path.exists() else []


@dataclass
class Outcome:
    """Holds the results of one run of pytest so far, by test id."""

    listed: Sequence[KnownRed]
    selected: set[str] = field(default_factory=set)  # Tests of this run, not of the other run of `make test`.
    missing: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    passed: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)  # Failed collections and crashed workers.

    def problems(self) -> list[str]:
        """Returns one line for each reason why the run fails regardless of the listed tests."""
        names = [entry.test for entry in self.listed]
        is_complete = not self.broken  # A listed test may be in a file that could not be collected.
        lines = [
            f"{FILE_NAME}: no test is named {name}" for name in names if is_complete and name in self.missing
        ]
        for name in names:
            if name in self.selected - self.failed:
                state = "passes: take it off the list" if name in self.passed else "was not run to its end"
                lines.append(f"{FILE_NAME}: {name} {state}")
        return lines + [f"{FILE_NAME}: does not cover {event}" for event in self.broken]

    def known(self) -> list[KnownRed]:
        """Returns the listed tests that have failed in this run."""
        return [entry for entry in self.listed if entry.test in self.failed]

    def exit_code(self, code: int) -> int:
        """Returns the run's exit code, given the code that pytest alone would return."""
        if self.problems():
            return code or int(pytest.ExitCode.TESTS_FAILED)
        only_known = self.failed <= {entry.test for entry in self.listed}
        return 0 if code == pytest.ExitCode.TESTS_FAILED and only_known and self.failed else code


class CollectionCheck:
    """Reports, in a worker process, which listed names no test has, before any test is deselected."""

    def __init__(self, names: Sequence[str], config: pytest.Config) -> None:
        self.names = names
        self.config = config

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Records the missing names; deselection has not removed any test yet."""
        missing = sorted(set(self.names) - {item.nodeid for item in items})
        vars(self.config)["workeroutput"][MISSING] = missing


class ResultCheck:
    """Collects, in the reporting process, the results of all tests and sets the exit code."""

    def __init__(self, listed: Sequence[KnownRed]) -> None:
        self.outcome = Outcome(listed)

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Records the missing names without xdist, where this process collects the tests itself."""
        self.outcome.missing = {entry.test for entry in self.outcome.listed} - {item.nodeid for item in items}

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Records the tests that remain after deselection, without xdist."""
        self.outcome.selected |= {item.nodeid for item in session.items}

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: Sequence[str]) -> None:
        """Records the tests that remain after deselection in a worker of xdist."""
        self.outcome.selected |= set(ids)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: object, error: object) -> None:
        """Records the missing names of a worker that ended; a crashed worker's other results are lost."""
        if error:
            self.outcome.broken.append("a worker that died")
        self.outcome.missing |= set(getattr(node, "workeroutput", {}).get(MISSING, ()))

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Records a failed collection, because it hides all tests of the file, listed or not."""
        event = f"an error at collection of {report.nodeid}"
        if report.failed and event not in self.outcome.broken:
            self.outcome.broken.append(event)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Records a test as failed if any of its phases failed."""
        if report.failed:
            self.outcome.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.outcome.passed.add(report.nodeid)

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Sets the exit code, after every other hook that could change it."""
        session.exitstatus = self.outcome.exit_code(int(session.exitstatus))

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints listed failures and problems before pytest's closing line."""
        for entry in self.outcome.known():
            terminalreporter.write_line(f"known red: {entry.test} ({entry.cause}; issue {entry.issue})")
        for line in self.outcome.problems():
            terminalreporter.write_line(line, red=True)


def pytest_configure(config: pytest.Config) -> None:
    """Registers the check for this process, worker or reporting. An invalid file ends the run at once."""
    try:
        listed = read(config.rootpath / FILE_NAME)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    if hasattr(config, "workeroutput"):
        config.pluginmanager.register(CollectionCheck([entry.test for entry in listed], config))
    else:
        config.pluginmanager.register(ResultCheck(listed))
