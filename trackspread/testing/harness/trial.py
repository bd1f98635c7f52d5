"""`trackspread try`: three gateways, nine rating nodes and clients on loopback, live, with kills.

Ends with what happened and the judge's verdict: exit status 0 if the rules were kept, 1 if one was broken.
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
from ..standins.rating_node import SECOND
from ..standins.scenario import Scenario
from .fleet import Fleet
from .screen import GatewayRow, NodeRow, Snapshot, draw, one_line
from .run_statistics import Tallies

AWAY = 2.0  # s until a killed gateway or node is back
LOAD = 0.35  # of what the nodes can do
EVERY = 1.0  # s between screens
LEAST_SECONDS = 3.0
_KILL = re.compile(r"(?P<what>n\d+|s-\d+)(?:@(?P<at>\d+(?:\.\d+)?))?")


def plan_kills(words: list[str], scenario: Scenario, seconds: float) -> list[tuple[float, str]]:
    """`NAME` or `NAME@SECONDS`, sorted by time; raises `ConfigError`."""
    kills = []
    known = [f"n{i}" for i in range(scenario.gateways)] + [f"s-{i}" for i in range(scenario.nodes)]
    for word in words:
        match = _KILL.fullmatch(word)
        if match is None or match["what"] not in known:
            raise ConfigError(
                f"--kill: found {word!r}, wanted n0 to n{scenario.gateways - 1} or s-0 to "
                f"s-{scenario.nodes - 1}, with @SECONDS behind it or not"
            )
        at = float(match["at"]) if match["at"] else seconds / 3
        if at > seconds:
            raise ConfigError(f"--kill: found {word!r}, wanted at most {seconds:g} s")
        kills.append((at, match["what"]))
    return sorted(kills)


class Trial:
    """One run; `step` once a second takes note and draws."""

    def __init__(self, fleet: Fleet, seconds: float, seed: int) -> None:
        self.fleet = fleet
        self.seconds = seconds
        self.tallies = Tallies(fleet.scenario.world())
        self.happened: list[str] = []
        self.stop = asyncio.Event()
        self._rng = random.Random(f"trial:{seed}")
        self._began = asyncio.get_running_loop().time()
        self._read = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def elapsed(self) -> float:
        return asyncio.get_running_loop().time() - self._began

    def note(self, text: str) -> None:
        self.happened.append(f"{self.elapsed:5.1f} s  {text}")

    def key(self, word: str) -> None:
        """What a person asked for by a key."""
        fleet = self.fleet
        if word == "g" and (up := [g.name for g in fleet.gateways if g.running]):
            self.kill(self._rng.choice(up))
        elif word == "n" and len(ready := fleet.listed()) > 1:
            self.kill(self._rng.choice(ready).spec.name)
        elif word in ("q", "\x03"):
            self.stop.set()

    def kill(self, name: str) -> None:
        task = asyncio.get_running_loop().create_task(self._kill(name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _kill(self, name: str) -> None:
        if name.startswith("n"):
            if not self.fleet.gateways[int(name[1:])].running:
                return
            self.note(f"gateway {name} is killed; what it held is its clients' to ask again")
            await self.fleet.restart([int(name[1:])], AWAY)
            self.note(f"gateway {name} is back, knowing nothing but the last list")
            return
        node = self.fleet.nodes[name]
        if not node.running:
            return
        self.note(f"node {name} is killed; the list tells so {AWAY / 2:g} s later")
        node.down()
        await asyncio.sleep(AWAY / 2)
        self.fleet.told(node, "terminated")
        await asyncio.sleep(AWAY / 2)
        fresh = self.fleet.scenario.successor(node.spec)
        await self.fleet.boot(fresh)
        self.note(f"node {fresh.name} takes its place, cold")

    async def over(self) -> None:
        """Kills that are under way come to their end first."""
        await asyncio.gather(*self._tasks)

    def step(self) -> Snapshot:
        entries = self.fleet.ledger.entries
        self.tallies.take(entries[self._read :])
        self._read = len(entries)
        tallies, fleet = self.tallies, self.fleet
        nodes = []
        for node in fleet.nodes.values():
            busy, _, held = node.model.report(time.monotonic_ns())
            if not node.running:
                if node.model.draining or node.spec.name not in fleet.list.hosts:
                    continue
                state, busy, held = "DOWN", 0.0, 0.0
            elif node.model.part(time.monotonic_ns()) < 1.0:
                state = "cold"
            else:
                state = "silent" if node.silent else "draining" if node.model.draining else "ready"
            nodes.append(NodeRow(node.spec.name, state, busy, int(held)))
        gateways = [
            GatewayRow(g.name, g.running, tallies.by_gateway.get(g.name, Counter())) for g in fleet.gateways
        ]
        return Snapshot(
            self.elapsed,
            self.seconds,
            gateways,
            nodes,
            tallies.total,
            tallies.refusals,
            tuple(tallies.seconds),
            tuple(self.happened),
        )


@contextlib.contextmanager
def _keys(trial: Trial) -> Iterator[bool]:
    """Single keys, where standard input is a terminal; it is as before afterwards."""
    if not (sys.stdin.isatty() and sys.stdout.isatty()):
        yield False
        return
    number, loop = sys.stdin.fileno(), asyncio.get_running_loop()
    before = termios.tcgetattr(number)
    tty.setcbreak(number)
    loop.add_reader(number, lambda: trial.key(sys.stdin.read(1)))
    sys.stdout.write("\x1b[2J\x1b[?25l")
    try:
        yield True
    finally:
        loop.remove_reader(number)
        termios.tcsetattr(number, termios.TCSADRAIN, before)
        sys.stdout.write("\x1b[?25h")


async def _run(seconds: float, kills: list[tuple[float, str]], seed: int) -> Verdict:
    scenario = _scene(seed)
    print(
        f"starting {scenario.gateways} gateways and {scenario.nodes} rating nodes "
        f"on loopback (seed {seed}) ...",
        flush=True,
    )
    async with Fleet(scenario) as fleet:
        trial = Trial(fleet, seconds, seed)
        fleet.ask()
        waiting, told = list(kills), 0
        with _keys(trial) as keyed:
            while trial.elapsed < seconds and not trial.stop.is_set():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(min(EVERY, max(0.01, seconds - trial.elapsed))):
                        await trial.stop.wait()
                while waiting and waiting[0][0] <= trial.elapsed:
                    trial.kill(waiting.pop(0)[1])
                    await asyncio.sleep(0)
                shot = trial.step()
                if keyed:
                    lines = "".join(f"{line}\x1b[K\n" for line in draw(shot, True))
                    sys.stdout.write(f"\x1b[H{lines}\x1b[J")
                else:
                    print(*trial.happened[told:], one_line(shot), sep="\n")
                    told = len(trial.happened)
                sys.stdout.flush()
        await trial.over()
        up = [gateway.running for gateway in fleet.gateways]
        await fleet.settle()
        shot = trial.step()
        rows = [replace(row, up=was) for row, was in zip(shot.gateways, up, strict=True)]
        shot = replace(shot, gateways=rows, elapsed=min(seconds, shot.elapsed))
        print("\n" + "\n".join(draw(shot, False)))
        return fleet.verdict()


def _scene(seed: int) -> Scenario:
    return Scenario(load=LOAD, greedy=0.2, warm=6 * SECOND, seed=seed)


def run(seconds: float, kill: list[str], seed: int) -> int:
    """Exit status: 0 kept, 1 broken; raises `ConfigError` on what can't be meant."""
    if not LEAST_SECONDS <= seconds <= 3600:
        raise ConfigError(f"--seconds: found {seconds:g}, wanted {LEAST_SECONDS:g} to 3600")
    kills = plan_kills(kill, _scene(seed), seconds)
    gc.disable()  # a collection over the ledger would be a lag of the stand-ins
    verdict = uvloop.run(_run(seconds, kills, seed))
    summary = verdict.summary
    print(
        f"\n{summary.requests} requests: {summary.served} served, {summary.rejected} refused, "
        f"{summary.failed} failed, {summary.unanswered} left unanswered; "
        f"{summary.over_quota_share:.1%} of what was sent on lay beyond quotas"
    )
    if verdict.state == "void":
        lag_ms = summary.max_lag_ns / 1e6
        print(f"no verdict: this machine was too busy, the stand-ins lagged by {lag_ms:.0f} ms")
        return 0
    for violation in verdict.violations[:10]:
        print(f"rule broken: {violation.rule}: {violation.text}")
    print("the five rules were " + ("kept" if verdict.state == "kept" else "BROKEN"))
    return 1 if verdict.violations else 0
