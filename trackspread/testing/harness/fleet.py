"""Runs a fleet for a scenario, with gateways as processes and all stand-ins in this process.

The fleet is on loopback and removed at the end. All stand-ins share this process, its clock and its ledger.
If its event loop lagged, the run has no verdict on time limits.
"""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

from ..judge.judge import judge
from ..judge.ledger import GatewayExited, GatewayKilled, HarnessLagged, Ledger
from ..judge.membership_records import MembershipRecord, RecordReader
from ..judge.verdict import Verdict
from ..standins.backend_list import BackendList, ListedBackend
from ..standins.clients import Clients
from ..standins.discovery_agent import DiscoveryAgent
from ..standins.faulty_network import FaultyNetwork
from ..standins.loopback import Address, Ports, address_text
from ..standins.node_server import NodeServer
from ..standins.rating_node import IdempotencyCache, NodeSpec
from ..standins.scenario import Scenario
from .gateway_process import RUN_COMMAND, GatewayProcess
from .upgradable_gateway import UpgradableGateway

LAG_POLL_S = 0.01  # interval between measurements of the event loop's lag
MIN_RECORDED_LAG_S = 0.02  # shortest lag that is recorded in the ledger
CONNECTIONS_STOP_S = (0.2, 0.4)  # range of the time after SIGTERM in which new connections still come
START_SPACING_S = 0.01  # interval between starts of gateways that start together
MEMBER_PORT = 7400  # port for the other members' messages; each member has a host of its own
MEMORY_MB = 64  # usual limit in each gateway's configuration
CORES = 1.0  # limit in each gateway's configuration


def _no_operator_file(name: str) -> str:
    return ""


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Holds the gateways' CPU time per request, and the peak memory of the largest one."""

    cpu_ms: float
    memory_mb: float


class Fleet:
    """Runs a fleet, as `async with Fleet(scenario) as fleet`; the clients are started separately.

    `command` has the interpreter's arguments that run a gateway, and `max_descriptors` limits its open files,
    `memory_mb` its memory.
    With `relay_nodes` connections to rating nodes go over the faulty network too, as those between gateways
    always do. `operator_file` returns the text of a gateway's file for its name. With `upgradable` the
    listening sockets belong to the harness, so that new versions can start beside old ones. `view_settings`
    has further keys of the table [fleet]; it is None if the gateways keep no view of their fleet. `seeds` has
    the numbers of the view's seeds. With `has_control` or a view each gateway has an admin server.
    """

    def __init__(
        self,
        scenario: Scenario,
        command: tuple[str, ...] = RUN_COMMAND,
        max_descriptors: int = 256,
        relay_nodes: bool = False,
        operator_file: Callable[[str], str] = _no_operator_file,
        upgradable: bool = False,
        view_settings: str | None = None,
        seeds: tuple[int, ...] = (0, 1, 2),
        memory_mb: int = MEMORY_MB,
        has_control: bool = False,
    ) -> None:
        self.scenario = scenario
        self.ledger = Ledger()
        self.network = FaultyNetwork(scenario.seed)
        self.backend_list = BackendList()
        self.folder = Path(tempfile.mkdtemp(prefix="trackspread-"))
        self.nodes: dict[str, NodeServer] = {}
        self.gateways: list[GatewayProcess] = []
        self.agents = [
            DiscoveryAgent(self.backend_list, number, self.ledger) for number in range(scenario.gateways)
        ]
        self.view_settings = view_settings
        self._command = command
        self._max_descriptors = max_descriptors
        self._memory_mb = memory_mb
        self._has_control = has_control or view_settings is not None
        self._relay_nodes = relay_nodes
        self._operator_file = operator_file
        self._upgradable = upgradable
        self._seeds = [number for number in seeds if number < scenario.gateways]
        self._reader = RecordReader([])
        self.member_addresses: dict[
            str, Address
        ] = {}  # addresses at which each listens for the other members
        self.advertised_addresses: dict[
            str, Address
        ] = {}  # addresses at which others reach each over the network
        self.control_addresses: dict[str, Address] = {}  # addresses of the admin servers
        self._rng = random.Random(f"fleet:{scenario.seed}")
        self._ports = Ports()
        self._caches = dict[int, IdempotencyCache]()  # caches by cell
        addresses = [self._ports.tcp() for _ in range(scenario.gateways)]
        self.clients = Clients(scenario, scenario.population(), self.ledger, addresses)
        self._dialed_addresses: dict[str, tuple[Address, ...]] = {}  # addresses of each node by gateway
        self._lag_task: asyncio.Task[None] | None = None

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
        for spec in self.scenario.node_specs():
            await self.start_node(spec, slow_start=False)
        for agent in self.agents:
            await agent.start()
        names = [f"n{number}" for number in range(self.scenario.gateways)]
        peer_addresses = {name: self._ports.udp() for name in names}
        relayed_addresses = await self.network.datagrams(peer_addresses)
        if self.view_settings is not None:
            await self._prepare_view(names)
        for number, name in enumerate(names):
            peers = [
                peer_addresses[other] if other == name else relayed_addresses[name, other] for other in names
            ]
            self.gateways.append(self._gateway(number, name, peer_addresses[name], peers))
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self._lag_task = asyncio.get_running_loop().create_task(self._watch_lag())

    def _gateway(
        self, number: int, name: str, peer_listen: Address, peers: Sequence[Address]
    ) -> GatewayProcess:
        address = self.clients.addresses[number]
        config = {
            "name": name,
            "listen": address_text(address),
            "discovery": address_text(self.agents[number].address),
            "limits": {"cores": CORES, "memory_mb": self._memory_mb, "sockets": self._max_descriptors},
            "peer_listen": address_text(peer_listen),
            "peers": [address_text(peer) for peer in peers],
            "known": self.backend_list.snapshot(number),
            "settings": self.scenario.settings(number),
        }
        if self._has_control and not self._upgradable:
            self.control_addresses[name] = self._ports.tcp()
            config["control"] = address_text(self.control_addresses[name])
        operator_file = self._operator_file(name) + self.fleet_table(name)
        if self._upgradable:
            return UpgradableGateway(
                name,
                address,
                config,
                self.folder,
                self.ledger,
                self._max_descriptors,
                self._ports,
                operator_file,
                self._command,
            )
        return GatewayProcess(
            name,
            address,
            config,
            self.folder,
            self.ledger,
            self._command,
            self._max_descriptors,
            operator_file,
        )

    async def _prepare_view(self, names: Sequence[str]) -> None:
        """Gives each of these members an address, a relay before it, and a file for its records."""
        self.member_addresses = {name: (self._ports.host(), MEMBER_PORT) for name in names}
        self.advertised_addresses = await self.network.shared_addresses(self.member_addresses)
        self._reader = RecordReader([self.record_path(name) for name in names])

    def fleet_table(self, name: str) -> str:
        """Returns the table [fleet] of one gateway's operator's file, or "" if no view is kept."""
        if self.view_settings is None:
            return ""
        seeds = ", ".join(f'"{address_text(self.advertised_addresses[f"n{n}"])}"' for n in self._seeds)
        return (
            f'\n[fleet]\nname = "test"\nlisten = "{address_text(self.member_addresses[name])}"\n'
            f'advertise = "{address_text(self.advertised_addresses[name])}"\nseeds = [{seeds}]\nmost = 128\n'
            f'record = "{self.record_path(name)}"\n{self.view_settings}\n'
        )

    def records(self) -> list[MembershipRecord]:
        """Returns all records of the members so far in order of time."""
        return self._reader.all()

    def process_ends(self) -> list[tuple[int, str]]:
        """Returns when each gateway's process was killed or ended, in ns, with the gateway's name."""
        return [
            (entry.at, entry.gateway)
            for entry in self.ledger.entries
            if isinstance(entry, GatewayKilled | GatewayExited)
        ]

    def record_path(self, name: str) -> Path:
        """Returns the file to which a member writes its records."""
        return self.folder / f"{name}.view"

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_POLL_S
            await asyncio.sleep(LAG_POLL_S)
            if (lag := loop.time() - due) > MIN_RECORDED_LAG_S:
                self.ledger.write(HarnessLagged(time.monotonic_ns(), "stand-ins", int(lag * 1e9)))

    async def _close(self) -> None:
        if self._lag_task is not None:
            self._lag_task.cancel()
        self.clients.sending = False
        for gateway in self.gateways:
            await gateway.kill()
        for agent in self.agents:
            agent.close()
        for node in self.nodes.values():
            node.crash()
        self.network.close()
        self._ports.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def start_node(self, spec: NodeSpec, slow_start: bool = True) -> NodeServer:
        """Starts a new node and lists it; with `slow_start` it has to warm up first."""
        node = NodeServer(
            self.scenario,
            spec,
            self._caches,
            self.ledger,
            self.clients.command_forms,
            self.scenario.gateways,
            slow_start,
        )
        self.nodes[spec.name] = node
        await node.start()
        addresses = list(node.addresses)
        if self._relay_nodes:
            addresses = [
                await self.network.tcp(f"n{number}", spec.name, address)
                for number, address in enumerate(addresses)
            ]
        self._dialed_addresses[spec.name] = tuple(addresses)
        self.announce(node, "in_service")
        return node

    def announce(self, node: NodeServer, health: str) -> None:
        """Sets a node's health on the backend list: `in_service`, `terminating` or `terminated`."""
        spec = node.spec
        self.backend_list.put(
            ListedBackend(
                spec.name,
                self._dialed_addresses[spec.name],
                spec.zone,
                spec.kind,
                spec.cell,
                health,
                node.created_at_ms,
                self.scenario.service(spec),
            )
        )

    def drain(self, node: NodeServer) -> None:
        """Makes the node take no new requests, and announces this on the backend list."""
        node.model.draining = True
        self.announce(node, "terminating")

    def remove(self, node: NodeServer) -> None:
        """Ends the node and removes it from the backend list."""
        node.crash()
        self.announce(node, "terminated")

    async def replace(self, node: NodeServer, drain_s: float) -> None:
        """Drains a node, starts a successor that has to warm up, and removes the old one after `drain_s`."""
        self.drain(node)
        await self.start_node(self.scenario.successor(node.spec))
        await asyncio.sleep(drain_s)
        self.remove(node)

    def nodes_in_service(self) -> list[NodeServer]:
        """Returns the nodes that run and are not draining."""
        return [node for node in self.nodes.values() if node.running and not node.model.draining]

    async def restart(self, numbers: Sequence[int], downtime_s: float, kill: bool = True) -> None:
        """Stops these gateways together, by SIGKILL or SIGTERM, and starts them after `downtime_s`."""
        await self.stop_gateways(numbers, kill)
        await asyncio.sleep(downtime_s)
        await self.start_gateways(numbers)

    async def stop_gateways(self, numbers: Sequence[int], kill: bool = True) -> None:
        """Kills these gateways together, or sends them SIGTERM; their clients are notified."""
        chosen = [self.gateways[number] for number in numbers]
        if kill:
            self.clients.killed_gateways.update(numbers)
        else:
            self._stop_connections(numbers)
        await asyncio.gather(*(gateway.kill() if kill else gateway.end() for gateway in chosen))

    async def start_gateways(self, numbers: Sequence[int]) -> None:
        """Starts gateways that have ended, without any state but the last backend list."""
        for number in numbers:
            self.gateways[number].config["known"] = self.backend_list.snapshot(number)
        async with asyncio.TaskGroup() as group:
            for number in numbers:
                group.create_task(self.gateways[number].start())
                # Each start occupies the event loop for some milliseconds.
                await asyncio.sleep(START_SPACING_S)
        self.clients.closing_gateways.difference_update(numbers)
        self.clients.killed_gateways.difference_update(numbers)

    def _stop_connections(self, numbers: Sequence[int]) -> None:
        """Stops new connections after a delay, as the platform does in a planned restart."""
        for number in numbers:
            delay = self._rng.uniform(*CONNECTIONS_STOP_S)
            asyncio.get_running_loop().call_later(delay, self.clients.closing_gateways.add, number)

    def start_clients(self) -> None:
        """Starts the clients' requests."""
        self.clients.start()

    async def settle(self) -> None:
        """Stops the clients; returns once every request has ended and the gateways have shut down."""
        await self.clients.settle()
        await asyncio.gather(*(gateway.end() for gateway in self.gateways))

    def verdict(self) -> Verdict:
        """Returns the judge's verdict on the ledger's entries so far."""
        return judge(self.scenario.rule_parameters(), self.ledger.entries)

    def resource_usage(self) -> ResourceUsage:
        """Returns the gateways' resource usage so far."""
        requests = max(1, len(self.clients.command_forms))
        cpu_s = sum(gateway.cpu_used_s() for gateway in self.gateways)
        peak_bytes = max(gateway.peak_memory_bytes for gateway in self.gateways)
        return ResourceUsage(1000 * cpu_s / requests, peak_bytes / (1 << 20))
