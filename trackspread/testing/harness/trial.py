"""Runs `trackspread try`: three gateways, nine rating nodes and clients on loopback, with kills.

The run ends with a summary and the judge's verdict. The exit status is 1 if a rule was broken, else 0, also
without a verdict because the machine was too busy.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import re
import sys
import termios
import time
import tty
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

import uvloop

from ...config.addresses import ConfigError
from ..judge.verdict import Verdict
from ..standins.node_server import NodeServer
from ..standins.scenario import Scenario
from .fault_scenarios import USUAL_SCENARIO
from .fleet import Fleet
from .run_statistics import RunStatistics
from .screen import GatewayRow, NodeRow, Snapshot, draw, one_line

DOWNTIME_S = 2.0  # time until a killed gateway or node is back
REDRAW_S = 1.0
MIN_STEP_S = 0.01
MIN_DURATION_S, MAX_DURATION_S = 3.0, 3600
MAX_VIOLATIONS = 10  # limit on printed violations
CTRL_C = "\x03"
CLEAR_SCREEN, HOME, CLEAR_LINE, CLEAR_BELOW = "\x1b[2J", "\x1b[H", "\x1b[K", "\x1b[J"
HIDE_CURSOR, SHOW_CURSOR = "\x1b[?25l", "\x1b[?25h"
_KILL = re.compile(r"(?P<what>n\d+|s-\d+)(?:@(?P<at>\d+(?:\.\d+)?))?")

Kill = tuple[float, str]  # time in s from the start, and the name of the gateway or node


def plan_kills(words: list[str], scenario: Scenario, seconds: float) -> list[Kill]:
    """Parses `NAME` or `NAME@SECONDS` and returns the kills sorted by time; raises `ConfigError`."""
    kills = []
    known = [f"n{i}" for i in range(scenario.gateways)] + [f"s-{i}" for i in range(scenario.nodes)]
    for word in words:
        match = _KILL.fullmatch(word)
        if match is None or match["what"] not in known:
            raise ConfigError(
                f"--kill: must be n0 to n{scenario.gateways - 1} or s-0 to s-{scenario.nodes - 1}, "
                f"optionally followed by @SECONDS, got {word!r}"
            )
        at = float(match["at"]) if match["at"] else seconds / 3
        if at > seconds:
            raise ConfigError(f"--kill: must be at most {seconds:g} s after the start, got {word!r}")
        kills.append((at, match["what"]))
    return sorted(kills)


class Trial:
    """Controls one run: kills parts of the fleet and counts results."""

    def __init__(self, fleet: Fleet, duration_s: float, seed: int) -> None:
        self.fleet = fleet
        self.duration_s = duration_s
        self.events: list[str] = []
        self.stop = asyncio.Event()
        self._statistics = RunStatistics(fleet.scenario.rule_parameters())
        self._rng = random.Random(f"trial:{seed}")
        self._started = asyncio.get_running_loop().time()
        self._entries_read = 0
        self._kill_tasks: set[asyncio.Task[None]] = set()

    @property
    def elapsed_s(self) -> float:
        """Returns the time since the start in s."""
        return asyncio.get_running_loop().time() - self._started

    def _note(self, text: str) -> None:
        self.events.append(f"{self.elapsed_s:5.1f} s  {text}")

    def press(self, key: str) -> None:
        """Executes the command of a key."""
        fleet = self.fleet
        if key == "g" and (up := [gateway.name for gateway in fleet.gateways if gateway.running]):
            self.kill(self._rng.choice(up))
        elif key == "n" and len(ready := fleet.nodes_in_service()) > 1:
            self.kill(self._rng.choice(ready).spec.name)
        elif key in ("q", CTRL_C):
            self.stop.set()

    def kill(self, name: str) -> None:
        """Kills a gateway or node, which comes back after `DOWNTIME_S`."""
        coroutine = self._kill_gateway(name) if name.startswith("n") else self._kill_node(name)
        task = asyncio.get_running_loop().create_task(coroutine)
        self._kill_tasks.add(task)
        task.add_done_callback(self._kill_tasks.discard)

    async def _kill_gateway(self, name: str) -> None:
        number = int(name[1:])
        if not self.fleet.gateways[number].running:
            return
        self._note(f"gateway {name} is killed; its clients have to retry the requests that it held")
        await self.fleet.restart([number], DOWNTIME_S)
        self._note(f"gateway {name} is back without state except the last backend list")

    async def _kill_node(self, name: str) -> None:
        node = self.fleet.nodes[name]
        if not node.running:
            return
        self._note(f"node {name} is killed; the backend list shows it {DOWNTIME_S / 2:g} s later")
        node.crash()
        await asyncio.sleep(DOWNTIME_S / 2)
        self.fleet.announce(node, "terminated")
        await asyncio.sleep(DOWNTIME_S / 2)
        successor = self.fleet.scenario.successor(node.spec)
        await self.fleet.start_node(successor)
        self._note(f"node {successor.name} replaces it and warms up")

    async def finish_kills(self) -> None:
        """Returns once all killed gateways and nodes are back."""
        await asyncio.gather(*self._kill_tasks)

    def step(self) -> Snapshot:
        """Adds the entries since the last call as one second and returns the values to show."""
        entries = self.fleet.ledger.entries
        statistics = self._statistics
        statistics.add_second(entries[self._entries_read :])
        self._entries_read = len(entries)
        gateways = [
            GatewayRow(gateway.name, gateway.running, statistics.by_gateway.get(gateway.name, Counter()))
            for gateway in self.fleet.gateways
        ]
        rows = [self._node_row(node) for node in self.fleet.nodes.values()]
        return Snapshot(
            self.elapsed_s,
            self.duration_s,
            gateways,
            [row for row in rows if row is not None],
            statistics.total,
            statistics.rejections,
            tuple(statistics.by_second),
            tuple(self.events),
        )

    def _node_row(self, node: NodeServer) -> NodeRow | None:
        """Returns a node's row, or None if the node has ended and is not listed."""
        now = time.monotonic_ns()
        load = node.model.load_report(now)
        name = node.spec.name
        if not node.running:
            if node.model.draining or name not in self.fleet.backend_list.hosts:
                return None
            return NodeRow(name, "DOWN", 0.0, 0)
        if node.model.capacity_share(now) < 1.0:
            state = "cold"
        elif node.unresponsive:
            state = "silent"
        else:
            state = "draining" if node.model.draining else "ready"
        return NodeRow(name, state, load.busy, load.in_flight)


@contextlib.contextmanager
def _keyboard(trial: Trial) -> Iterator[bool]:
    """Reads single keys if standard input is a terminal and restores it at the end; else yields False."""
    if not (sys.stdin.isatty() and sys.stdout.isatty()):
        yield False
        return
    descriptor, loop = sys.stdin.fileno(), asyncio.get_running_loop()
    attributes = termios.tcgetattr(descriptor)
    tty.setcbreak(descriptor)
    loop.add_reader(descriptor, lambda: trial.press(sys.stdin.read(1)))
    sys.stdout.write(CLEAR_SCREEN + HIDE_CURSOR)
    try:
        yield True
    finally:
        loop.remove_reader(descriptor)
        termios.tcsetattr(descriptor, termios.TCSADRAIN, attributes)
        sys.stdout.write(SHOW_CURSOR)


async def _wait_for_redraw(trial: Trial) -> None:
    """Waits until the next screen is due or the trial is stopped."""
    left_s = max(MIN_STEP_S, trial.duration_s - trial.elapsed_s)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(min(REDRAW_S, left_s)):
            await trial.stop.wait()


async def _play(trial: Trial, kills: list[Kill]) -> None:
    """Shows the trial and executes due kills, until its time is over or it is stopped."""
    pending_kills = list(kills)
    events_shown = 0
    with _keyboard(trial) as interactive:
        while trial.elapsed_s < trial.duration_s and not trial.stop.is_set():
            await _wait_for_redraw(trial)
            while pending_kills and pending_kills[0][0] <= trial.elapsed_s:
                trial.kill(pending_kills.pop(0)[1])
                await asyncio.sleep(0)
            snapshot = trial.step()
            if interactive:
                lines = "".join(f"{line}{CLEAR_LINE}\n" for line in draw(snapshot, True))
                sys.stdout.write(f"{HOME}{lines}{CLEAR_BELOW}")
            else:
                print(*trial.events[events_shown:], one_line(snapshot), sep="\n")
                events_shown = len(trial.events)
            sys.stdout.flush()


async def _run(duration_s: float, kills: list[Kill], seed: int) -> Verdict:
    scenario = _scenario(seed)
    print(
        f"starting {scenario.gateways} gateways and {scenario.nodes} rating nodes "
        f"on loopback (seed {seed}) ...",
        flush=True,
    )
    async with Fleet(scenario) as fleet:
        trial = Trial(fleet, duration_s, seed)
        fleet.start_clients()
        await _play(trial, kills)
        await trial.finish_kills()
        up = [gateway.running for gateway in fleet.gateways]
        await fleet.settle()
        snapshot = trial.step()
        rows = [replace(row, up=was_up) for row, was_up in zip(snapshot.gateways, up, strict=True)]
        snapshot = replace(snapshot, gateways=rows, elapsed_s=min(duration_s, snapshot.elapsed_s))
        print("\n" + "\n".join(draw(snapshot, False)))
        return fleet.verdict()


def _scenario(seed: int) -> Scenario:
    return USUAL_SCENARIO.changed(seed=seed)


def run(seconds: float, kill: list[str], seed: int) -> int:
    """Runs a trial and returns the exit status, 1 if a rule was broken, else 0 (also without a verdict).

    `kill` has the values of `--kill`. Raises `ConfigError` on a value or a time that is not valid.
    """
    if not MIN_DURATION_S <= seconds <= MAX_DURATION_S:
        raise ConfigError(f"--seconds: must be {MIN_DURATION_S:g} to {MAX_DURATION_S}, got {seconds:g}")
    kills = plan_kills(kill, _scenario(seed), seconds)
    gc.disable()  # a collection over the ledger would make the stand-ins lag
    verdict = uvloop.run(_run(seconds, kills, seed))
    _print_verdict(verdict)
    return 1 if verdict.state != "void" and verdict.violations else 0


def _print_verdict(verdict: Verdict) -> None:
    summary = verdict.summary
    print(
        f"\n{summary.requests} requests: {summary.served} served, {summary.rejected} refused, "
        f"{summary.failed} failed, {summary.unanswered} "
        f"left unanswered; {summary.over_quota_share:.1%} of the forwarded units were beyond quotas"
    )
    if verdict.state == "void":
        lag_ms = summary.max_lag_ns / 1e6
        print(f"no verdict: this machine was too busy, the stand-ins lagged by {lag_ms:.0f} ms")
        return
    for violation in verdict.violations[:MAX_VIOLATIONS]:
        print(f"rule broken: {violation.rule}: {violation.text}")
    print("the five rules were " + ("kept" if verdict.state == "kept" else "BROKEN"))
