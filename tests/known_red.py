"""Pytest plugin for CI: the tests in KNOWN-RED.txt may fail, and nothing else may.

Each line of that file is `test, cause, issue`, with the test's full id (`tests/test_x.py::test_y[a]`) and the
issue's number; at most three lines, and no file when nothing is red. `.ci/run` loads the plugin in both runs
of `make test`; `make test` alone knows nothing of it and fails on any red test.
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
    """The file breaks one of its rules; the text names the file, the line and what is wanted."""


@dataclass(frozen=True)
class KnownRed:
    """One line of the file."""

    test: str
    cause: str
    issue: int


def parse(text: str) -> list[KnownRed]:
    """The entries of the file's text; KnownRedError if a rule is broken. Empty lines do not count."""
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        found = LINE.fullmatch(line)
        if found is None:
            raise KnownRedError(f"{FILE_NAME}: line {number}: wanted {FORM}")
        if any(entry.test == found["test"] for entry in entries):
            raise KnownRedError(f"{FILE_NAME}: line {number}: {found['test']} is listed twice")
        if len(entries) == MOST_LINES:
            raise KnownRedError(f"{FILE_NAME}: line {number}: at most {MOST_LINES} tests may be listed")
        entries.append(KnownRed(found["test"], found["cause"], int(found["issue"])))
    return entries


def read(path: Path) -> list[KnownRed]:
    """The entries of the file; none if it is absent."""
    return parse(path.read_text()) if path.exists() else []


@dataclass
class Outcome:
    """What one run of pytest has shown so far, by test id."""

    listed: Sequence[KnownRed]
    selected: set[str] = field(default_factory=set)  # To be run here, not in the other run of `make test`.
    missing: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    passed: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)  # Collections that failed and workers that died.

    def problems(self) -> list[str]:
        """One plain line for each reason why the run fails whatever is listed."""
        names = [entry.test for entry in self.listed]
        whole = not self.broken  # What could not be collected may hold the name.
        lines = [f"{FILE_NAME}: no test is named {name}" for name in names if whole and name in self.missing]
        for name in names:
            if name in self.selected - self.failed:
                state = "passes: take it off the list" if name in self.passed else "was not run to its end"
                lines.append(f"{FILE_NAME}: {name} {state}")
        return lines + [f"{FILE_NAME}: does not cover {event}" for event in self.broken]

    def known(self) -> list[KnownRed]:
        """Listed tests that have failed in this run."""
        return [entry for entry in self.listed if entry.test in self.failed]

    def exit_code(self, code: int) -> int:
        """The run's exit code, from the one it would have had by pytest alone."""
        if self.problems():
            return code or int(pytest.ExitCode.TESTS_FAILED)
        only_known = self.failed <= {entry.test for entry in self.listed}
        return 0 if code == pytest.ExitCode.TESTS_FAILED and only_known and self.failed else code


class Worker:
    """In a process that collects: tells which listed names no test has, before any is deselected."""

    def __init__(self, names: Sequence[str], config: pytest.Config) -> None:
        self.names = names
        self.config = config

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """All tests are known here."""
        missing = sorted(set(self.names) - {item.nodeid for item in items})
        vars(self.config)["workeroutput"][MISSING] = missing


class Judge:
    """In the process that reports: gathers what has failed and sets the exit code."""

    def __init__(self, listed: Sequence[KnownRed]) -> None:
        self.outcome = Outcome(listed)

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Without xdist, this process collects by itself."""
        self.outcome.missing = {entry.test for entry in self.outcome.listed} - {item.nodeid for item in items}

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Without xdist: what is left after deselection."""
        self.outcome.selected |= {item.nodeid for item in session.items}

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: Sequence[str]) -> None:
        """With xdist: the same, from a worker."""
        self.outcome.selected |= set(ids)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: object, error: object) -> None:
        """A worker has ended: by itself, or by a crash that takes what else it had to show with it."""
        if error:
            self.outcome.broken.append("a worker that died")
        self.outcome.missing |= set(getattr(node, "workeroutput", {}).get(MISSING, ()))

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """A file that can't be collected hides all of its tests, also those that are not listed."""
        event = f"an error at collection of {report.nodeid}"
        if report.failed and event not in self.outcome.broken:
            self.outcome.broken.append(event)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """A test fails if any of its phases does."""
        if report.failed:
            self.outcome.failed.add(report.nodeid)
        elif report.passed and report.when == "call":
            self.outcome.passed.add(report.nodeid)

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """After all else that could change the code."""
        session.exitstatus = self.outcome.exit_code(int(session.exitstatus))

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Ahead of pytest's closing line."""
        for entry in self.outcome.known():
            terminalreporter.write_line(f"known red: {entry.test} ({entry.cause}; issue {entry.issue})")
        for line in self.outcome.problems():
            terminalreporter.write_line(line, red=True)


def pytest_configure(config: pytest.Config) -> None:
    """Takes its place in the reporting process and in each worker; a broken file ends the run at once."""
    try:
        listed = read(config.rootpath / FILE_NAME)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    if hasattr(config, "workeroutput"):
        config.pluginmanager.register(Worker([entry.test for entry in listed], config))
    else:
        config.pluginmanager.register(Judge(listed))
