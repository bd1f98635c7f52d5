"""Puts a mutant in its module's place in a fresh process, and the checks to it.

The module's file is not touched: an import hook hands out the mutant's text. A mutant that hangs, or takes
many times what the checks usually take, is ended by the parent and counts as found by the clock.
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
from types import ModuleType
from typing import Literal

import msgspec

from .checks import SCHEDULES, checks
from .generate import Mutant, source

PATIENCE = 60.0  # s for one mutant: some ten times the checks over the text as it stands
PRELOADED = ["pytest", "hypothesis", "msgspec", "trackspread.testing.mutation.checks"]  # no module under test
PLANTED = "planted"  # the child's first word
Fate = Literal["killed", "survived"]


class Result(msgspec.Struct, frozen=True):
    """What became of a mutant; `by` is the check that found it, or `clock`."""

    key: str
    module: str
    line: int
    operator: str
    before: str
    after: str
    fate: Fate
    by: str
    seconds: float


class _Planted(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Finds one module, and gives it another text."""

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
    """From now on this process has the mutant, for good."""
    if module in sys.modules:
        raise RuntimeError(f"{module} is imported already")
    sys.meta_path.insert(0, _Planted(module, text))


def _found(module: str, text: str, schedules: int, answer: Connection) -> None:
    """In the child: the name of the first check that finds the mutant, or nothing."""
    os.setpgrp()  # whatever the checks start goes with it
    plant(module, text)
    answer.send(PLANTED)
    for check in checks(module.split(".")[1], schedules):
        try:
            wrong = check.run()
        except Exception:  # a check that a mutant has crash has found it
            wrong = True
        if wrong:
            answer.send(check.name)
            return
    answer.send("")


def put(mutant: Mutant, schedules: int = SCHEDULES, patience: float = PATIENCE) -> Result:
    """One mutant to its end."""
    context, began = multiprocessing.get_context("forkserver"), time.monotonic()
    context.set_forkserver_preload(PRELOADED)  # counts before the server's start, with the first of all
    mine, its = context.Pipe(duplex=False)
    child = context.Process(target=_found, args=(mutant.module, mutant.text, schedules, its), daemon=True)
    child.start()
    its.close()
    by, planted = "clock", False
    try:
        planted = mine.recv() == PLANTED
        if mine.poll(patience):
            by = mine.recv()
    except EOFError:
        by = "crash"
    if child.pid is not None and child.is_alive():
        try:
            os.killpg(child.pid, signal.SIGKILL)
        except ProcessLookupError:
            child.kill()
    child.join()
    if not planted:  # nothing was tried: that is no verdict on any check
        raise RuntimeError(f"{mutant.module} could not be planted: is it imported by what starts the checks?")
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
    """Checks that find fault with the text as it stands would find every mutant: raises `RuntimeError`."""
    for module in modules:
        as_it_is = Mutant(module, "none", 0, "", "", source(module))
        if by := put(as_it_is, schedules).by:
            package = module.split(".")[1]
            raise RuntimeError(f"the checks of {package} find fault with the text as it stands ({by})")


def put_all(
    mutants: Iterable[Mutant], workers: int, end: float, schedules: int = SCHEDULES
) -> Iterator[Result]:
    """Side by side, as they end. None is begun after `end`, on the monotonic clock, in seconds."""

    def in_time(mutant: Mutant) -> Result | None:
        return put(mutant, schedules) if time.monotonic() < end else None

    with ThreadPoolExecutor(workers) as pool:
        for done in as_completed([pool.submit(in_time, mutant) for mutant in mutants]):
            if (result := done.result()) is not None:
                yield result
