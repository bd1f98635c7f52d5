"""Runs replicas or gateways of distributed configuration.

Usage: `python -m trackspread.testing.harness.configuration_process SPEC`; SPEC is a `ProcessSpec` as JSON.

The leader and the blocked addresses come on standard input, as one JSON object (`Conditions`) per line.
Events are recorded in files. The spec may name a planted fault.
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
from ...distribution.wire import Wire
from ...membership.identifiers import Address, Epoch
from ...membership.wire import Keys
from ..virtual.distribution.mutants import MUTANTS
from ..virtual.patches import applied

FLEET = "configured"
SEED_BITS = 60


class GatewaySpec(msgspec.Struct, frozen=True):
    """Describes one gateway; `region` is the number of its region, and replicas rotate over the regions."""

    name: str
    address: Address
    region: int
    services: frozenset[str]


class ProcessSpec(msgspec.Struct, frozen=True):
    """Describes one process, with a replica by its number, or with the gateways if that is negative.

    `recent_entries` limits the committed entries that a replica caches for deltas, and `pieces_per_s` the
    datagrams with entries that it sends to gateways. All processes share `key`. `mutant` is a planted fault's
    name, or empty.
    """

    folder: str
    replicas: tuple[Address, ...]
    regions: int
    replica: int = -1
    gateways: tuple[GatewaySpec, ...] = ()
    key: str = ""
    mutant: str = ""
    recent_entries: int = 8192
    pieces_per_s: int = 2000


class Conditions(msgspec.Struct, frozen=True):
    """Holds one line of standard input, the conditions from now on.

    `leader` is the election's result, or None while there is none. No datagrams are sent to `blocked_targets`
    and none received from `blocked_sources`. `loss` is the share of sent datagrams that is lost.
    """

    leader: Epoch | None = None
    blocked_targets: frozenset[Address] = frozenset()
    blocked_sources: frozenset[Address] = frozenset()
    loss: float = 0.0


class FaultyTransport:
    """Applies the latest conditions to the network of one process."""

    def __init__(self) -> None:
        self.conditions = Conditions()
        self._rng = random.Random(1)

    def attach(self, endpoint: Endpoint) -> None:
        """Applies the conditions to an endpoint's datagrams."""
        send = endpoint.send
        receive = endpoint.on_datagram

        def faulty_send(to: Address, body: MessageBody) -> None:
            conditions = self.conditions
            if to not in conditions.blocked_targets and self._rng.random() >= conditions.loss:
                send(to, body)

        def faulty_receive(data: bytes, source: Address) -> None:
            if source not in self.conditions.blocked_sources:
                receive(data, source)

        endpoint.send = faulty_send  # type: ignore[method-assign]
        endpoint.on_datagram = faulty_receive  # type: ignore[method-assign]

    async def read_conditions(self) -> None:
        """Reads conditions from standard input until it ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            self.conditions = msgspec.json.decode(line, type=Conditions)


def build_endpoints(spec: ProcessSpec, transport: FaultyTransport) -> list[Endpoint]:
    """Returns the replica or the gateways that run in this process."""
    wire = Wire(FLEET, Keys(spec.key.encode()))
    created_at_ms = time.time_ns() // 1_000_000
    folder = Path(spec.folder)
    if spec.replica >= 0:
        return [_replica(spec, transport, wire, created_at_ms, folder)]
    return [_gateway(spec, gateway, wire, created_at_ms, folder) for gateway in spec.gateways]


def _replica(
    spec: ProcessSpec, transport: FaultyTransport, wire: Wire, created_at_ms: int, folder: Path
) -> ReplicaHost:
    settings = ReplicaSettings(
        spec.replica, created_at_ms, spec.replicas, spec.recent_entries, pieces_per_s=spec.pieces_per_s
    )
    return ReplicaHost(
        settings,
        spec.replicas[spec.replica],
        wire,
        random.getrandbits(SEED_BITS),
        time.monotonic_ns,
        lambda: transport.conditions.leader,
        record=folder / f"replica-{spec.replica}.jsonl",
    )


def _gateway(
    spec: ProcessSpec, gateway: GatewaySpec, wire: Wire, created_at_ms: int, folder: Path
) -> SubscriberHost:
    same_region = spec.replicas[gateway.region :: spec.regions]
    other_regions = tuple(address for address in spec.replicas if address not in same_region)
    return SubscriberHost(
        gateway.name,
        SubscriberSettings(same_region, gateway.services, other_regions),
        gateway.address,
        wire,
        random.getrandbits(SEED_BITS),
        created_at_ms,
        time.monotonic_ns,
        record=folder / "gateways.jsonl",
    )


async def main(spec: ProcessSpec) -> None:
    """Starts all endpoints, prints `ready` on standard output, and runs until standard input ends."""
    transport = FaultyTransport()
    for endpoint in build_endpoints(spec, transport):
        transport.attach(endpoint)
        await endpoint.start()
    print("ready", flush=True)
    await transport.read_conditions()


if __name__ == "__main__":
    given = msgspec.convert(json.loads(sys.argv[1]), ProcessSpec)
    planted: Any = applied(MUTANTS[given.mutant]()) if given.mutant else nullcontext()
    with planted:
        uvloop.run(main(given))
