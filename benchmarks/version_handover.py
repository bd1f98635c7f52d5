"""Tests handovers between this version and another one under load, in both directions, on real processes.

Gateways of one version are replaced by processes of the other, one after another, and back, while clients
send requests. In addition, a tenant at each gateway requests many times its quota around each handover. A
process that starts without its predecessor's state grants the quota's burst again, which the figures show.
`--before FOLDER` is a checkout of the other version. `--planted` keeps both versions from finding each other;
the state must then be missing, as otherwise this benchmark would detect nothing.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import time
from collections import Counter
from pathlib import Path
from unittest.mock import patch

import uvloop

from benchmarks.common import say
from trackspread.testing.harness import fleet as fleets
from trackspread.testing.harness.fleet import Fleet
from trackspread.testing.harness.upgradable_gateway import UpgradableGateway
from trackspread.testing.judge.ledger import (
    ReplyReceived,
    RequestSent,
    AttemptReceived,
    ConnectionLost,
    ClientDisconnected,
)
from trackspread.testing.standins.client_population import Tenant, ClientRequest
from trackspread.testing.standins.rating_node import SECOND
from trackspread.testing.standins.scenario import MILLISECOND, PLANS, Scenario

HERE = Path(__file__).parent.parent
LOAD = 0.3  # Part of the capacity of the rating nodes.
GREEDY_PLAN = "full"
# Units beyond a full bucket that are tolerated. A bucket whose state is lost gives a whole burst.
STRAY_UNITS = PLANS[GREEDY_PLAN].burst_units / 2
GREEDY_PAUSE_S = 0.01  # Seconds between requests of a greedy tenant.
GREEDY_WAIT = 1200 * MILLISECOND  # Nanoseconds until the deadline.
GREEDY_CUSTOMERS = 0xF00D0000  # Number of the first greedy tenant.
GREEDY_REQUESTS = 1 << 36  # Number of the first greedy request.
BEFORE_S = 1.0  # Seconds of greedy requests before a handover, which spend the burst.
AFTER_S = 1.0
GONE_S = 2.0  # Seconds until requests that no client waits for are over.
COLD_START_TEXTS = (
    "no state was handed over, starting cold",
    "nothing was taken over, a cold start",  # Versions up to 5f04399.
)
SERVES = "the newer process serves"


class Versioned(UpgradableGateway):
    """Runs a gateway in `checkout`, which may change for the next process."""

    checkout = HERE

    def command(self) -> tuple[str, ...]:
        """Returns the command that starts a process in the checkout."""
        return "/usr/bin/env", "-C", str(self.checkout), *super().command()

    def runs(self) -> Path:
        """Returns the checkout of the process that serves."""
        return Path(os.readlink(f"/proc/{self.pid}/cwd"))

    def lines(self, text: str) -> int:
        """Returns how often its log has this text."""
        return self.log.read_text(errors="replace").count(text)


class Greedy:
    """Holds a tenant of one gateway that sends requests without regard to its quota until it is stopped."""

    def __init__(self, fleet: Fleet, position: int, first_request: int) -> None:
        number = GREEDY_CUSTOMERS + position
        self.customer = Tenant(number, GREEDY_PLAN, 0.0, 1, position, [1.0])
        self._fleet, self._position, self._request = fleet, position, first_request
        self.began = time.monotonic_ns()
        self._task = asyncio.get_running_loop().create_task(self._send())

    async def _send(self) -> None:
        clients = self._fleet.clients
        while True:
            self._request += 1
            origin = clients.population.request_name(self._request, 0)
            request = ClientRequest(
                origin, self.customer, "rate-lookup", self._position, 1.0, "", GREEDY_WAIT, 9
            )
            clients.send(request, 1)
            await asyncio.sleep(GREEDY_PAUSE_S)

    async def over_quota(self) -> float:
        """Stops the tenant and returns its forwarded units beyond a full bucket; negative if within it."""
        self._task.cancel()
        entries = self._fleet.ledger.entries
        asked = {
            e.request
            for e in entries
            if isinstance(e, RequestSent) and e.tenant == self.customer.number and e.at >= self.began
        }
        sent = [e for e in entries if isinstance(e, AttemptReceived) and e.request in asked]
        rule = PLANS[GREEDY_PLAN]
        last = max((e.at for e in sent), default=self.began)
        allowed = rule.burst_units + rule.rate_per_s * (last - self.began) / SECOND
        return len({e.request for e in sent}) - allowed


def answers(fleet: Fleet) -> tuple[int, int]:
    """Returns the number of requests whose client waited in vain, and of requests with several answers."""
    entries = fleet.ledger.entries
    asked = {e.request for e in entries if isinstance(e, RequestSent)}
    given = Counter(e.request for e in entries if isinstance(e, ReplyReceived))
    left = {e.request for e in entries if isinstance(e, ClientDisconnected)}
    cut = {e.request for e in entries if isinstance(e, ConnectionLost)}
    return len((asked - given.keys() - left) | cut), sum(count > 1 for count in given.values())


async def handed_over(
    old: Path, new: Path, rounds: int, span: float, planted: bool, seed: int
) -> dict[str, float]:
    """Replaces all gateways of `old` by `new` and back, `rounds` times to `new`, and returns the figures."""
    scenario = Scenario(load=LOAD, seed=seed)
    async with Fleet(
        scenario, upgradable=True, operator_file=lambda name: "[log]\nlevel = 'info'\n"
    ) as fleet:
        held = [each for each in fleet.gateways if isinstance(each, Versioned)]
        assert len(held) == scenario.gateways and all(each.runs() == old for each in held)
        fleet.start_clients()
        await asyncio.sleep(span)
        overs, waits, numbers = list[float](), list[float](), GREEDY_REQUESTS
        for turn in range(2 * rounds - 1):
            for position, gateway in enumerate(held):
                greedy = Greedy(fleet, position, numbers)
                numbers += 1 << 16
                await asyncio.sleep(BEFORE_S)
                gateway.checkout = (new, old)[turn % 2]
                if planted:
                    gateway.handover_folder = fleet.folder / f"apart-{turn}-{position}"
                    gateway.handover_folder.mkdir()
                waits.append(await gateway.upgrade())
                assert gateway.runs() == gateway.checkout
                await asyncio.sleep(AFTER_S)
                overs.append(await greedy.over_quota())
                say(f"{gateway.name} runs {gateway.checkout.name}: {waits[-1]:.2f} s, {overs[-1]:+.1f} units")
        await asyncio.sleep(span)
        taken = sum(each.lines(SERVES) for each in held)
        cold = sum(each.lines(text) for each in held for text in COLD_START_TEXTS)
        await fleet.settle()
        await asyncio.sleep(GONE_S)
        lost, twice = answers(fleet)
        verdict = fleet.verdict()
        for each in verdict.violations[:10]:
            say(f"{each.rule}: {each.text}")
        return {
            "handovers": len(waits),
            "taken_over": taken,
            "cold_starts": cold - len(held),  # Each gateway's first process starts cold.
            "tries": verdict.summary.requests,
            "served": verdict.summary.served,
            "lost": lost,
            "answered_twice": twice,
            "left": fleet.clients.outcome_counts["left"],
            "worst_over_quota": round(max(overs), 2),
            "state_missed": sum(over > STRAY_UNITS for over in overs),
            "violations": len(verdict.violations),
            "void": verdict.state == "void",
            "slowest_s": round(max(waits), 2),
        }


async def measure(before: Path, quick: bool, planted: bool, seed: int) -> dict[str, float]:
    """Returns the figures of both directions; prints progress to standard error."""
    made: dict[str, float] = {}
    rounds, span = (1, 1.5) if quick else (2, 4.0)
    for name, old, new in (("to_this", before, HERE), ("from_this", HERE, before)):
        Versioned.checkout = old
        with patch.object(fleets, "UpgradableGateway", Versioned):
            result = await handed_over(old, new, rounds, span, planted, seed)
        say(f"{name}: {result}")
        made |= {f"{name}_{key}": value for key, value in result.items()}
    return made


def main() -> int:
    """Runs the command and returns its exit status."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--before", type=Path, required=True, metavar="FOLDER", help="the other version")
    parser.add_argument("--quick", action="store_true", help="one round each way")
    parser.add_argument(
        "--planted",
        action="store_true",
        help="keep processes from finding each other, which must be detected",
    )
    parser.add_argument("--seed", type=int, default=7)
    given = parser.parse_args()
    made = uvloop.run(measure(given.before.resolve(), given.quick, given.planted, given.seed))
    print(json.dumps(made))
    kept = all(
        not made[f"{way}_{key}"]
        for way in ("to_this", "from_this")
        for key in ("lost", "answered_twice", "cold_starts", "state_missed", "violations")
    )
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
