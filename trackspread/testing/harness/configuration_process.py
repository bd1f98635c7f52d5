"""Runs replicas or gateways of handed-down configuration.

Usage: `python -m trackspread.testing.harness.configuration_process SPEC`.

Who leads and which ways are cut is told on standard input, a JSON object a line; what came to be is recorded.
A planted fault may be named.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from contextlib import nullcontext
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from ...distribution.host import Endpoint, ReplicaHost, SubscriberHost
from ...distribution.messages import MessageBody
from ...distribution.settings import ReplicaSettings, SubscriberSettings
from ...membership.identifiers import Address, Epoch
from ...distribution.wire import Wire
from ...membership.wire import Keys
from ..virtual.distribution.mutants import MUTANTS
from ..virtual.patches import applied

FLEET = "configured"


class Gateway(msgspec.Struct, frozen=True):
    """`region`: of those that replicas are spread over by turns."""

    name: str
    address: Address
    region: int
    services: frozenset[str]


class ProcessSpec(msgspec.Struct, frozen=True):
    """One process: a replica by its number, or the gateways."""

    folder: str
    replicas: tuple[Address, ...]
    regions: int
    replica: int = -1
    gateways: tuple[Gateway, ...] = ()
    key: str = ""
    mutant: str = ""
    recent: int = 8192
    pieces: int = 2000


class ConfigurationReceived(msgspec.Struct, frozen=True):
    """A line of standard input: what holds from now on. `cut`: addresses that nothing is sent to, `deaf`:
    that nothing is heard from; `loss`: of all that is sent."""

    lead: Epoch | None = None
    cut: frozenset[Address] = frozenset()
    deaf: frozenset[Address] = frozenset()
    loss: float = 0.0


class FaultyTransport:
    """The network of one process, and who leads here."""

    def __init__(self) -> None:
        self.told, self._rng = ConfigurationReceived(), random.Random(1)

    def plant(self, endpoint: Endpoint) -> None:
        """Its datagrams go by what holds."""
        send, came = endpoint.send, endpoint.on_datagram

        def sent(to: Address, body: MessageBody) -> None:
            if to not in self.told.cut and self._rng.random() >= self.told.loss:
                send(to, body)

        def arrived(data: bytes, source: Address) -> None:
            if source not in self.told.deaf:
                came(data, source)

        endpoint.send = sent  # type: ignore[method-assign]
        endpoint.on_datagram = arrived  # type: ignore[method-assign]

    async def listen(self) -> None:
        """To standard input, until it ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            self.told = msgspec.json.decode(line, type=ConfigurationReceived)


def made(spec: ProcessSpec, faulty: FaultyTransport) -> list[Endpoint]:
    """All that runs in this process."""
    wire, born, folder = Wire(FLEET, Keys(spec.key.encode())), time.time_ns() // 1_000_000, Path(spec.folder)
    if spec.replica >= 0:
        settings = ReplicaSettings(spec.replica, born, spec.replicas, spec.recent, pieces_per_s=spec.pieces)
        return [
            ReplicaHost(
                settings,
                spec.replicas[spec.replica],
                wire,
                random.getrandbits(60),
                time.monotonic_ns,
                lambda: faulty.told.lead,
                record=folder / f"replica-{spec.replica}.jsonl",
            )
        ]
    hosts: list[Endpoint] = []
    for each in spec.gateways:
        near = spec.replicas[each.region :: spec.regions]
        others = tuple(a for a in spec.replicas if a not in near)
        hosts.append(
            SubscriberHost(
                each.name,
                SubscriberSettings(near, each.services, others),
                each.address,
                wire,
                random.getrandbits(60),
                born,
                time.monotonic_ns,
                record=folder / "gateways.jsonl",
            )
        )
    return hosts


async def main(spec: ProcessSpec) -> None:
    faulty = FaultyTransport()
    for host in made(spec, faulty):
        faulty.plant(host)
        await host.start()
    print("ready", flush=True)
    await faulty.listen()


if __name__ == "__main__":
    given = msgspec.convert(json.loads(sys.argv[1]), ProcessSpec)
    planted: Any = applied(MUTANTS[given.mutant]()) if given.mutant else nullcontext()
    with planted:
        uvloop.run(main(given))
