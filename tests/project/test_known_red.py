"""Tests that CI lets only the tests in KNOWN-RED.txt fail.

Each test runs a small project that keeps or breaks one rule of that file.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from ..known_red import KnownRed, KnownRedError, parse

ROOT = Path(__file__).parents[2]
RED = "tests/test_small.py::test_red"
LISTED = f"{RED}, a real fault, 48\n"
SMALL = """
import pytest

def test_green():
    pass

def test_red():
    assert False

@pytest.mark.parametrize("value", ["a, b", "c"])
def test_by_value(value):
    assert value == "c"

@pytest.mark.processes
def test_process():
    pass
"""


class Project:
    """Holds a project of one test file with the repository's own Makefile, `.ci/run` and plugin."""

    def __init__(self, folder: Path, tests: str, listed: str | None) -> None:
        self.folder = folder
        (folder / "tests").mkdir()
        (folder / ".ci").mkdir()
        (folder / ".venv/bin").mkdir(parents=True)
        shutil.copy(ROOT / "tests/known_red.py", folder / "tests")
        shutil.copy(ROOT / "Makefile", folder)
        shutil.copy(ROOT / ".ci/run", folder / ".ci")
        (folder / "tests/__init__.py").touch()
        (folder / "requirements.txt").touch()
        (folder / "pytest.ini").write_text("[pytest]\nmarkers = processes: any\n")
        commands = {"python": f'exec {sys.executable} "$@"', "ruff": 'echo "ruff $1"', "mypy": "echo typed"}
        for name, command in commands.items():
            script = folder / ".venv/bin" / name
            script.write_text(f"#!/bin/sh\n{command}\n")
            script.chmod(0o755)
        (folder / ".venv/.ready").touch()
        (folder / "tests/test_small.py").write_text(tests)
        if listed is not None:
            (folder / "KNOWN-RED.txt").write_text(listed)

    def run(self, *command: str) -> tuple[int, str]:
        """Runs a command and returns its exit code and all output.

        The environment has no variables of the outer make or pytest.
        """
        inherited = {k: v for k, v in os.environ.items() if not k.startswith(("MAKE", "MFLAGS", "PYTEST"))}
        done = subprocess.run(
            command,
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=120,
            env=inherited | {"SIDE_BY_SIDE": "2", "FLEETS": "1"},
        )
        return done.returncode, done.stdout + done.stderr

    def first_run(self, *options: str) -> tuple[int, str]:
        """Runs the first run of `make test`, as CI does; returns its exit code and output."""
        return self.run(
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "tests.known_red",
            "--dist",
            "loadfile",
            "-m",
            "not processes",
            *(options or ("-n", "2")),
        )


def only_red() -> str:
    """Returns the small tests, of which only test_red fails."""
    return SMALL.replace('assert value == "c"', "pass")


@pytest.mark.parametrize("options", [("-n", "2"), ("-n", "0")], ids=["workers", "one process"])
def test_listed_test_may_fail_and_is_printed(tmp_path: Path, options: tuple[str, ...]) -> None:
    code, text = Project(tmp_path, only_red(), LISTED).first_run(*options)
    assert code == 0
    assert f"known red: {RED} (a real fault; issue 48)" in text
    assert text.strip().splitlines()[-1].startswith("1 failed, 3 passed")


def test_unlisted_test_may_not_fail(tmp_path: Path) -> None:
    code, text = Project(tmp_path, SMALL, LISTED).first_run()
    assert code == 1 and f"known red: {RED}" in text


def test_empty_file_lets_no_test_fail(tmp_path: Path) -> None:
    code, _ = Project(tmp_path, only_red(), "\n").first_run()
    assert code == 1


def test_parametrized_case_is_listed_by_its_full_id(tmp_path: Path) -> None:
    listed = LISTED + "tests/test_small.py::test_by_value[a, b], commas, too, issue 5\n"
    code, text = Project(tmp_path, SMALL, listed).first_run()
    assert code == 0 and "test_by_value[a, b] (commas, too; issue 5)" in text


@pytest.mark.parametrize("options", [("-n", "2"), ("-n", "0")], ids=["workers", "one process"])
@pytest.mark.parametrize(
    ("listed", "expected"),
    [
        ("tests/test_small.py::test_gone, a fault, 48\n", "no test is named tests/test_small.py::test_gone"),
        (
            "tests/test_small.py::test_green, a fault, 48\n",
            "tests/test_small.py::test_green passes: take it off",
        ),
    ],
)
def test_listed_test_must_exist_and_fail(
    tmp_path: Path, listed: str, expected: str, options: tuple[str, ...]
) -> None:
    code, text = Project(tmp_path, only_red(), LISTED + listed).first_run(*options)
    assert code == 1 and f"KNOWN-RED.txt: {expected}" in text


@pytest.mark.parametrize("mark", ["skip", "xfail"])
def test_listed_test_must_run(tmp_path: Path, mark: str) -> None:
    skipped = only_red().replace("def test_red", f"@pytest.mark.{mark}\ndef test_red")
    code, text = Project(tmp_path, skipped, LISTED).first_run()
    assert code == 1 and f"KNOWN-RED.txt: {RED} was not run to its end" in text


@pytest.mark.parametrize("phase", ["before", "after"])
def test_listed_test_may_fail_in_its_fixture(tmp_path: Path, phase: str) -> None:
    steps = ["assert False", "yield"] if phase == "before" else ["yield", "assert False"]
    fixture = "\n@pytest.fixture\ndef broken():\n" + "".join(f"    {step}\n" for step in steps)
    tests = only_red().replace("test_red():\n    assert False", "test_red(broken):\n    pass") + fixture
    code, text = Project(tmp_path, tests, LISTED).first_run()
    assert code == 0 and f"known red: {RED}" in text


@pytest.mark.parametrize("options", [("-n", "2"), ("-n", "0")], ids=["workers", "one process"])
def test_collection_error_is_never_covered(tmp_path: Path, options: tuple[str, ...]) -> None:
    """A collection error hides the file's other tests, and its test names cannot be looked up."""
    code, text = Project(tmp_path, "import nothing_of_this_name\n" + only_red(), LISTED).first_run(*options)
    assert code != 0 and "does not cover an error at collection of tests/test_small.py" in text
    assert "no test is named" not in text


def test_worker_crash_in_listed_test_is_not_covered(tmp_path: Path) -> None:
    tests = only_red().replace("assert False", "import os; os._exit(1)")
    code, text = Project(tmp_path, tests, LISTED).first_run()
    assert code == 1 and "KNOWN-RED.txt: does not cover a worker that died" in text


def test_run_killed_without_a_report_fails(tmp_path: Path) -> None:
    project = Project(tmp_path, only_red(), LISTED)
    (tmp_path / "conftest.py").write_text(
        "import os\n\ndef pytest_runtest_logreport(report):\n"
        "    if 'PYTEST_XDIST_WORKER' not in os.environ and report.failed:\n"
        "        os.kill(os.getpid(), 9)\n"
    )
    code, text = project.first_run()
    assert code == -9 and "known red" not in text


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            LISTED.replace("red,", "red:"),
            "line 1: must have the form `tests/test_x.py::test_y, cause, issue number`",
        ),
        (
            LISTED.replace(" 48", ""),
            "line 1: must have the form `tests/test_x.py::test_y, cause, issue number`",
        ),
        (
            LISTED.replace("a real fault", ""),
            "line 1: must have the form `tests/test_x.py::test_y, cause, issue number`",
        ),
        (
            LISTED.replace("::test_red", ""),
            "line 1: must have the form `tests/test_x.py::test_y, cause, issue number`",
        ),
        ("\n" + LISTED + LISTED, f"line 3: {RED} is listed twice"),
        ("".join(LISTED.replace("red", f"r{n}") for n in range(4)), "line 4: at most 3 tests may be listed"),
    ],
)
def test_line_that_breaks_a_rule_is_named(text: str, expected: str) -> None:
    with pytest.raises(KnownRedError) as caught:
        parse(text)
    assert str(caught.value) == f"KNOWN-RED.txt: {expected}"


def test_three_lines_are_read() -> None:
    text = "".join(LISTED.replace("red", f"r{n}") for n in range(3))
    assert parse(text) == [KnownRed(f"tests/test_small.py::test_r{n}", "a real fault", 48) for n in range(3)]


def test_invalid_file_ends_the_run_with_one_line(tmp_path: Path) -> None:
    code, text = Project(tmp_path, only_red(), "test_red\n").first_run()
    assert code == 4
    assert text.splitlines() == [
        "ERROR: KNOWN-RED.txt: line 1: must have the form `tests/test_x.py::test_y, cause, issue number`",
        "",
    ]


def test_ci_continues_with_second_run_after_listed_failures(tmp_path: Path) -> None:
    code, text = Project(tmp_path, only_red(), LISTED).run("bash", ".ci/run")
    lines = text.splitlines()
    assert code == 0 and lines[-3:] == ["ruff check", "ruff format", "typed"]
    assert lines[-4].startswith("1 passed") and any(line.startswith("1 failed, 3 passed") for line in lines)


def test_ci_accepts_listed_failure_in_second_run(tmp_path: Path) -> None:
    tests = only_red().replace("def test_red", "@pytest.mark.processes\ndef test_red")
    code, text = Project(tmp_path, tests, LISTED).run("bash", ".ci/run")
    assert code == 0 and text.count(f"known red: {RED}") == 1


@pytest.mark.parametrize("mark", ["", "@pytest.mark.processes\n"], ids=["first run", "second run"])
def test_ci_fails_on_unlisted_failing_test(tmp_path: Path, mark: str) -> None:
    tests = only_red().replace("def test_red", f"{mark}def test_red")
    code, text = Project(tmp_path, tests, None).run("bash", ".ci/run")
    assert code == 2 and "ruff check" not in text and "typed" not in text and "1 failed" in text


def test_make_test_alone_fails_on_listed_test(tmp_path: Path) -> None:
    code, text = Project(tmp_path, only_red(), LISTED).run("make", "test")
    assert code == 2 and "known red" not in text
