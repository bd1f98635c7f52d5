"""A fleet to play a scenario on: gateways as processes; nodes, lists, clients and the wire in this one.

Everything is on loopback; whatever happens, nothing of it is left behind. All stand-ins share this process,
its clock and its ledger, and its loop is watched: where it lagged the run has no verdict on time.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

from ..judge.membership_records import MembershipRecord, Reader
from ..judge.judge import judge
from ..judge.ledger import HarnessLagged, Ledger
from ..judge.verdict import Verdict
from ..standins.discovery_agent import DiscoveryAgent, BackendList, ListedBackend
from ..standins.clients import Clients
from ..standins.loopback import Address, Ports
from ..standins.node_server import NodeServer
from ..standins.rating_node import NodeSpec, Pod
from ..standins.scenario import Scenario
from ..standins.faulty_network import FaultyNetwork
from .gateway_process import GatewayProcess
from .upgradable_gateway import UpgradableGateway

BEAT = 0.01  # s between looks at this loop's own lag
LAG_NOTED = 0.02  # s from which a lag goes into the ledger
LEAVING = (0.2, 0.4)  # s after SIGTERM in which new connections still come
SPAWN = 0.01  # s between starts of gateways that start together
MEMBER_PORT = 7400  # at which each listens for the others' words, at a host of its own
MEMORY_MB = 64  # what each gateway is told that it may use


class Fleet:
    """Use as `async with Fleet(scenario) as fleet`; it starts everything but the clients."""

    def __init__(
        self,
        scenario: Scenario,
        command: tuple[str, ...] = ("-m", "trackspread", "run"),
        sockets: int = 256,
        relays: bool = False,
        own: Callable[[str], str] = lambda name: "",
        held: bool = False,
        viewed: str | None = None,
        seats: tuple[int, ...] = (0, 1, 2),
    ) -> None:
        """`own`: each gateway's operator's file, by name. `viewed`: further keys of the table [fleet], where
        the gateways keep a view of their fleet; `seats`: which are seeds. `held`: the clients' sockets are
        held here, so that new versions can start beside old ones, and each has a door. `relays`: also the
        ways to the rating nodes go over the wire (those between gateways always do)."""
        self.scenario = scenario
        self.ledger = Ledger()
        self.wire = FaultyNetwork(scenario.seed)
        self.list = BackendList()
        self.folder = Path(tempfile.mkdtemp(prefix="trackspread-"))
        self.nodes: dict[str, NodeServer] = {}
        self.gateways: list[GatewayProcess] = []
        self.agents = [DiscoveryAgent(self.list, number, self.ledger) for number in range(scenario.gateways)]
        self._command = command
        self._sockets = sockets
        self._relays = relays
        self._own = own
        self._held = held
        self._viewed = viewed
        self._seats = [n for n in seats if n < scenario.gateways]
        self._reader = Reader([])
        self.members: dict[str, Address] = {}  # where each listens for the others of the view
        self.doors: dict[str, Address] = {}  # the operators', where a view is kept
        self.reached: dict[str, Address] = {}  # by which they reach it: over the wire
        self._rng = random.Random(f"fleet:{scenario.seed}")
        self._ports, self._pods = Ports(), dict[int, Pod]()
        addresses = [self._ports.tcp() for _ in range(scenario.gateways)]
        self.clients = Clients(scenario, scenario.population(), self.ledger, addresses)
        self._dials: dict[str, tuple[Address, ...]] = {}
        self._beat: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Fleet:
        try:
            await self._start()
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._close()

    async def _start(self) -> None:
        scenario = self.scenario
        for spec in scenario.specs():
            await self.boot(spec, cold=False)
        for agent in self.agents:
            await agent.start()
        names = [f"n{number}" for number in range(scenario.gateways)]
        heard_at = {name: self._ports.udp() for name in names}
        peers = await self.wire.datagrams(heard_at)
        if self._viewed is not None:
            await self._view(names)
        for number, name in enumerate(names):
            told = [_text(heard_at[other] if other == name else peers[name, other]) for other in names]
            config = {
                "name": name,
                "listen": _text(self.clients.addresses[number]),
                "discovery": _text(self.agents[number].address),
                "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": self._sockets},
                "peer_listen": _text(heard_at[name]),
                "peers": told,
                "known": self.list.whole(number),
                "settings": scenario.settings(number),
            }
            at = self.clients.addresses[number]
            if self._viewed is not None and not self._held:
                self.doors[name] = self._ports.tcp()
                config["control"] = _text(self.doors[name])
            self.gateways.append(
                UpgradableGateway(
                    name,
                    at,
                    config,
                    self.folder,
                    self.ledger,
                    self._sockets,
                    self._ports,
                    self._own(name) + self.table(name),
                )
                if self._held
                else GatewayProcess(
                    name,
                    at,
                    config,
                    self.folder,
                    self.ledger,
                    self._command,
                    self._sockets,
                    self._own(name) + self.table(name),
                )
            )
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self._beat = asyncio.get_running_loop().create_task(self._watch_lag())

    async def _view(self, names: Sequence[str]) -> None:
        """Where each of these listens for the others of the view, and how these reach it."""
        self.members = {name: (self._ports.host(), MEMBER_PORT) for name in names}
        self.reached = await self.wire.posts(self.members)
        self._reader = Reader([self.record(name) for name in names])

    def table(self, name: str) -> str:
        """The table [fleet] of one gateway; nothing where no view is kept."""
        if self._viewed is None:
            return ""
        seeds = ", ".join(f'"{_text(self.reached[f"n{n}"])}"' for n in self._seats)
        return (
            f'\n[fleet]\nname = "test"\nlisten = "{_text(self.members[name])}"\n'
            f'advertise = "{_text(self.reached[name])}"\nseeds = [{seeds}]\nmost = 128\n'
            f'record = "{self.record(name)}"\n{self._viewed}\n'
        )

    def beliefs(self) -> list[MembershipRecord]:
        """All that the gateways have recorded so far, in its order."""
        return self._reader.all()

    def record(self, name: str) -> Path:
        """What this gateway believed, and when."""
        return self.folder / f"{name}.view"

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + BEAT
            await asyncio.sleep(BEAT)
            if (late := loop.time() - due) > LAG_NOTED:
                self.ledger.write(HarnessLagged(time.monotonic_ns(), "stand-ins", int(late * 1e9)))

    async def _close(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        self.clients.asking = False
        for gateway in self.gateways:
            await gateway.kill()
        for agent in self.agents:
            agent.close()
        for node in self.nodes.values():
            node.down()
        self.wire.close()
        self._ports.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Rating nodes.

    async def boot(self, spec: NodeSpec, cold: bool = True) -> NodeServer:
        """A new node, which the list tells of."""
        scenario = self.scenario
        node = self.nodes[spec.name] = NodeServer(
            scenario, spec, self._pods, self.ledger, self.clients.forms, scenario.gateways, cold
        )
        await node.start()
        dials = list(node.addresses)
        if self._relays:
            dials = [await self.wire.tcp(f"n{n}", spec.name, at) for n, at in enumerate(dials)]
        self._dials[spec.name] = tuple(dials)
        self.told(node, "in_service")
        return node

    def told(self, node: NodeServer, health: str) -> None:
        """What the list says of a node from now on."""
        spec = node.spec
        self.list.put(
            ListedBackend(
                spec.name,
                self._dials[spec.name],
                spec.zone,
                spec.kind,
                spec.cell,
                health,
                node.born_ms,
                self.scenario.service(spec),
            )
        )

    def drain(self, node: NodeServer) -> None:
        node.model.draining = True
        self.told(node, "terminating")

    def remove(self, node: NodeServer) -> None:
        node.down()
        self.told(node, "terminated")

    async def replace(self, node: NodeServer, leave: float) -> None:
        """Drain, start a cold successor, and end the old one after `leave` seconds."""
        self.drain(node)
        await self.boot(self.scenario.successor(node.spec))
        await asyncio.sleep(leave)
        self.remove(node)

    def listed(self) -> list[NodeServer]:
        """Those that run and are wanted."""
        return [n for n in self.nodes.values() if n.running and not n.model.draining]

    # Gateways.

    async def restart(self, numbers: Sequence[int], away: float, outright: bool = True) -> None:
        """Kill (or end) them together; after `away` seconds they start from nothing but the last list."""
        await self.end(numbers, outright)
        await asyncio.sleep(away)
        await self.begin(numbers)

    async def end(self, numbers: Sequence[int], outright: bool = True) -> None:
        """Kill (or end) them together; their clients know."""
        chosen = [self.gateways[number] for number in numbers]
        if outright:
            self.clients.killed.update(numbers)
        else:
            self._leave(numbers)
        await asyncio.gather(*(g.kill() if outright else g.end() for g in chosen))

    async def begin(self, numbers: Sequence[int]) -> None:
        """Those that have ended, from nothing but the last list."""
        for number in numbers:
            self.gateways[number].config["known"] = self.list.whole(number)
        async with asyncio.TaskGroup() as group:
            for number in numbers:
                # Not all in one turn of the loop: each start costs it some milliseconds.
                group.create_task(self.gateways[number].start())
                await asyncio.sleep(SPAWN)
        self.clients.leaving.difference_update(numbers)
        self.clients.killed.difference_update(numbers)

    def _leave(self, numbers: Sequence[int]) -> None:
        """At a planned restart new connections go on coming for a moment, as the platform's pages have it."""
        for number in numbers:
            wait = self._rng.uniform(*LEAVING)
            asyncio.get_running_loop().call_later(wait, self.clients.leaving.add, number)

    # The run.

    def ask(self) -> None:
        self.clients.start()

    async def settle(self) -> None:
        """No more is asked; all that was is seen to its end, and the gateways end in good order."""
        await self.clients.settle()
        await asyncio.gather(*(gateway.end() for gateway in self.gateways))

    def verdict(self) -> Verdict:
        return judge(self.scenario.world(), self.ledger.entries)

    def figures(self) -> dict[str, Any]:
        """CPU of the gateways a try, in ms, and the most memory that one held, in MB."""
        tries = max(1, len(self.clients.forms))
        return {
            "cpu_ms": 1000 * sum(g.cpu_used_s() for g in self.gateways) / tries,
            "memory_mb": max(g.peak_memory_bytes for g in self.gateways) / (1 << 20),
        }


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
