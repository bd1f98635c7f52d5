"""Runs the checks on a mutant, which replaces its module in a new process.

The module's file is not changed: an import hook supplies the mutant's text. A mutant that hangs, or takes
many times as long as the checks usually do, is killed by the parent and counts as detected by `clock`.
"""

from __future__ import annotations

import importlib.abc
import importlib.util
import multiprocessing
import os
import signal
import sys
import time
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from importlib.machinery import ModuleSpec
from multiprocessing.connection import Connection
from multiprocessing.context import ForkServerProcess
from types import ModuleType
from typing import Literal

import msgspec

from .checks import SCHEDULES, checks
from .generate import Mutant, source

TIMEOUT_S = 60.0  # for one mutant; about ten times the duration of the checks on the original text
PRELOADED = [
    "pytest",
    "hypothesis",
    "msgspec",
    "trackspread.testing.mutation.checks",
]  # contains no module under test
PLANTED = "planted"  # the first message of the child
Fate = Literal["killed", "survived"]


class Result(msgspec.Struct, frozen=True):
    """Holds the result for one mutant; `by` is the check that detected it, `clock` or `crash`, or empty."""

    key: str
    module: str
    line: int
    operator: str
    before: str
    after: str
    fate: Fate
    by: str
    seconds: float


class _MutantImporter(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Imports one module with the mutant's text."""

    def __init__(self, module: str, text: str) -> None:
        self._module = module
        self._text = text

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        return importlib.util.spec_from_loader(name, self) if name == self._module else None

    def exec_module(self, module: ModuleType) -> None:
        exec(compile(self._text, self._module, "exec"), module.__dict__)


def plant(module: str, text: str) -> None:
    """Replaces a module in this process by a mutant; raises `RuntimeError` if it is imported already."""
    if module in sys.modules:
        raise RuntimeError(f"{module} is imported already")
    sys.meta_path.insert(0, _MutantImporter(module, text))


def _run_checks(module: str, text: str, schedules: int, connection: Connection) -> None:
    """Runs in the child and sends the name of the first check that detects the mutant, or an empty text."""
    os.setpgrp()  # a process group of its own, so that processes started by checks are killed with this one
    plant(module, text)
    connection.send(PLANTED)
    for check in checks(module.split(".")[1], schedules):
        try:
            detected = check.run()
        except Exception:  # a mutant that makes a check crash is detected
            detected = True
        if detected:
            connection.send(check.name)
            return
    connection.send("")


def _kill(child: ForkServerProcess) -> None:
    """Kills the child and the processes that it has started."""
    if child.pid is not None and child.is_alive():
        try:
            os.killpg(child.pid, signal.SIGKILL)
        except ProcessLookupError:
            child.kill()
    child.join()


def run_mutant(mutant: Mutant, schedules: int = SCHEDULES, timeout_s: float = TIMEOUT_S) -> Result:
    """Runs the checks on one mutant; raises `RuntimeError` if it could not be planted."""
    context, began = multiprocessing.get_context("forkserver"), time.monotonic()
    context.set_forkserver_preload(PRELOADED)  # has an effect only before the server is started
    receiver, sender = context.Pipe(duplex=False)
    arguments = mutant.module, mutant.text, schedules, sender
    child = context.Process(target=_run_checks, args=arguments, daemon=True)
    child.start()
    sender.close()
    by, planted = "clock", False
    try:
        planted = receiver.recv() == PLANTED
        if receiver.poll(timeout_s):
            by = receiver.recv()
    except EOFError:
        by = "crash"
    _kill(child)
    if not planted:  # no check was run, so there is no result
        raise RuntimeError(
            f"{mutant.module} could not be planted: a module that starts the checks may import it"
        )
    fate: Fate = "killed" if by else "survived"
    return Result(
        mutant.key,
        mutant.module,
        mutant.line,
        mutant.operator,
        mutant.before,
        mutant.after,
        fate,
        by,
        round(time.monotonic() - began, 2),
    )


def require_sound(modules: Iterable[str], schedules: int = SCHEDULES) -> None:
    """Raises `RuntimeError` if the checks fail on the original text, as they would detect every mutant."""
    for module in modules:
        unchanged = Mutant(module, "none", 0, "", "", source(module))
        if by := run_mutant(unchanged, schedules).by:
            package = module.split(".")[1]
            raise RuntimeError(f"the checks of {package} fail on the original text ({by})")


def run_all(
    mutants: Iterable[Mutant], workers: int, end: float, schedules: int = SCHEDULES
) -> Iterator[Result]:
    """Runs mutants in parallel and yields results as they come; starts none after `end` (monotonic s)."""

    def run_in_time(mutant: Mutant) -> Result | None:
        return run_mutant(mutant, schedules) if time.monotonic() < end else None

    with ThreadPoolExecutor(workers) as pool:
        for future in as_completed([pool.submit(run_in_time, mutant) for mutant in mutants]):
            if (result := future.result()) is not None:
                yield result
