"""Simulates a complete fleet in virtual time: gateways, network, rating nodes, endpoint list and clients.

The stand-ins write all that they observe to a ledger. Faults are plain attributes that a schedule sets.
Nothing here depends on what the decision module decides or why.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from ...config.platform import flatten
from ...decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from ...decide.events import Outcome
from ...decide.settings import Settings
from ..judge.ledger import (
    AttemptReceived,
    BackendCrashed,
    BackendStarted,
    EndpointAnnounced,
    GatewayKilled,
    GatewayStarted,
    Ledger,
    RequestSent,
)
from ...lists.source import backend_id
from ...simulator.wire import parse_settings
from ..standins.client_population import ClientRequest
from ..standins.rating_node import NodeSpec, IdempotencyCache, RatingNode, AcceptedRequest, request_work_ns
from ..standins.scenario import MILLISECOND, ZONES, Scenario
from .clock import Clock
from .exchange import Exchange
from .host import Attempt, Host

LINGER_NS = (
    200 * MILLISECOND
)  # time after its deadline in which a client still reads, to observe a late reply
MAX_GATEWAYS_TRIED = 3  # number of gateways that a client that can't connect tries
MAX_CONNECT_DELAY_NS = 250 * MILLISECOND  # the connect timeout of the settings


@dataclass(slots=True)
class NetworkConditions:
    """Holds the state of the network. Chances are from 0 to 1, delays are one way."""

    min_delay_ns: int = 200_000
    max_delay_ns: int = 2 * MILLISECOND
    peer_loss: float = 0.02
    peer_duplication: float = 0.0
    max_peer_delay_ns: int = 0  # additional delay between gateways, which reorders messages
    reset_chance: float = 0.0  # that an attempt is reset after the request was received
    slow_connect_chance: float = 0.0  # that connecting takes up to `MAX_CONNECT_DELAY_NS` longer
    broken_write_chance: float = 0.0  # that a connection breaks before the request's last byte is sent
    max_list_delay_ns: int = 300 * MILLISECOND  # of updates of the endpoint list


@dataclass(slots=True, eq=False)
class Node:
    """Holds a rating node and its entry in the endpoint list."""

    spec: NodeSpec
    model: RatingNode
    id: int
    entry: Backend
    running: bool = True
    unresponsive: bool = False  # receives requests and sends nothing
    in_flight: dict[Attempt, Host] = field(default_factory=dict)

    @property
    def is_ready(self) -> bool:
        """Returns whether the node runs and is ready in the endpoint list."""
        return self.running and self.entry.health is Health.READY


class VirtualFleet:
    """Runs a scenario's fleet; callers schedule events on its `clock` and give its `ledger` to the judge."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(f"virtual:{seed}")
        self.clock = Clock()
        self.ledger = Ledger()
        self.conditions = NetworkConditions()
        self.population = replace(scenario, seed=seed).population()
        self._settings = [_settings(scenario, position) for position in range(scenario.gateways)]
        self._classes = {c.name: number for number, c in enumerate(scenario.classes)}
        self._plans = {name: number for number, name in enumerate(scenario.rule_parameters().plans)}
        self._deduplication_windows = {
            c.name: scenario.deduplication_window_ns for c in scenario.classes if c.idempotency == "keyed"
        }
        self._class_and_key: dict[str, tuple[str, str]] = {}  # by request
        self.partitioned: set[frozenset[int]] = set()  # pairs of gateways that get no message of each other
        self.pods: dict[int, IdempotencyCache] = {}
        self.nodes: dict[int, Node] = {}
        self.list_version = 1
        for spec in scenario.node_specs():
            self.start_node(spec, warms_up=False, announce=False)
        self.hosts: list[Host | None] = [None] * scenario.gateways
        self._known_endpoints: list[tuple[Backend, ...]] = [()] * scenario.gateways
        self._last_update_at = [0] * scenario.gateways  # updates reach each gateway in order
        self._open_exchanges: list[dict[str, Callable[[], None]]] = [{} for _ in range(scenario.gateways)]
        for position in range(scenario.gateways):
            self.start_gateway(position)
        self._send_next_request()

    def run(self, span: int) -> None:
        """Runs for `span` ns of load, and then until no request can be outstanding."""
        end = self.clock.now + span
        self.clock.at(end, self._stop_load)
        self.clock.run(end + max(c.deadline_ns for c in self.scenario.classes) + LINGER_NS)

    def _stop_load(self) -> None:
        self.population.rate_multiple = 0.0

    def draw_delay_ns(self) -> int:
        """Returns a random one-way delay in ns."""
        return self.rng.randint(self.conditions.min_delay_ns, self.conditions.max_delay_ns)

    def start_gateway(self, position: int) -> None:
        """Starts a gateway that has no state but the endpoint list that it last received."""
        if self.hosts[position] is not None:
            return
        seed = self.rng.getrandbits(48)
        host = self.hosts[position] = Host(self.clock, self, position, self._settings[position], seed)
        self._last_update_at[position] = 0
        known = self._known_endpoints[position] or self._listed_endpoints()
        host.update_endpoints(EndpointUpdate(EndpointUpdateKind.CACHED, 0, known))
        self._send_update(host, EndpointUpdateKind.FULL, self._listed_endpoints())
        self.ledger.write(GatewayStarted(self.clock.now, f"n{position}"))

    def kill_gateway(self, position: int) -> None:
        """Kills a gateway at once; its clients may retry the requests that it held."""
        host = self.hosts[position]
        if host is None:
            return
        host.alive = False
        self.hosts[position] = None
        self.ledger.write(GatewayKilled(self.clock.now, f"n{position}"))
        for lose_connection in list(self._open_exchanges[position].values()):
            lose_connection()
        self._open_exchanges[position].clear()

    def _listed_endpoints(self) -> tuple[Backend, ...]:
        return tuple(node.entry for node in self.nodes.values() if node.entry.health is not Health.REMOVED)

    def set_health(self, node: Node, health: Health) -> None:
        """Changes a node's entry in the endpoint list and sends the update to all gateways."""
        self.list_version += 1
        node.entry = replace(node.entry, health=health)
        for host in self.hosts:
            if host is not None:
                self._send_update(host, EndpointUpdateKind.DELTA, (node.entry,))

    def _send_update(self, host: Host, kind: EndpointUpdateKind, entries: tuple[Backend, ...]) -> None:
        position, version = host.position, self.list_version
        wait_ns = self.rng.randint(MILLISECOND, self.conditions.max_list_delay_ns)
        arrives_at = max(self._last_update_at[position], self.clock.now + wait_ns)
        self._last_update_at[position] = arrives_at
        self.clock.at(arrives_at, partial(self._deliver_update, host, kind, version, entries))

    def _deliver_update(
        self, host: Host, kind: EndpointUpdateKind, version: int, entries: tuple[Backend, ...]
    ) -> None:
        if not host.alive:
            return
        is_full = kind is EndpointUpdateKind.FULL
        is_ready = {entry.id: entry.health is Health.READY for entry in entries}
        for node in self.nodes.values():
            if node.id in is_ready or is_full:
                ready = is_ready.get(node.id, False)
                announced = EndpointAnnounced(self.clock.now, f"n{host.position}", node.spec.name, ready)
                self.ledger.write(announced)
        known = {} if is_full else {entry.id: entry for entry in self._known_endpoints[host.position]}
        known.update({entry.id: entry for entry in entries})
        listed = (entry for entry in known.values() if entry.health is not Health.REMOVED)
        self._known_endpoints[host.position] = tuple(listed)
        host.update_endpoints(EndpointUpdate(kind, version, entries))

    def start_node(self, spec: NodeSpec, warms_up: bool, announce: bool = True) -> Node:
        """Starts a node, at full capacity unless it `warms_up`, and announces it in the endpoint list."""
        now, number = self.clock.now, backend_id(spec.name)
        model = self.scenario.rating_node(spec, self.pods, now, warms_up)
        entry = Backend(
            number, ZONES.index(spec.zone), 0, spec.cell, Health.READY, 1.0, now if warms_up else 0
        )
        node = self.nodes[number] = Node(spec, model, number, entry)
        capacity = spec.initial_capacity if warms_up else 1.0
        cores = spec.cores * spec.speed
        self.ledger.write(
            BackendStarted(now, spec.name, spec.zone, spec.cell, cores, capacity, spec.warm_up_ns)
        )
        if announce:
            self.set_health(node, Health.READY)
        return node

    def drain_node(self, node: Node) -> None:
        """Makes a node reject new requests from now on, and updates the endpoint list."""
        node.model.draining = True
        self.set_health(node, Health.DRAINING)

    def crash_node(self, node: Node) -> None:
        """Ends a node's process: its connections are reset, and new ones are refused."""
        node.running = False
        for attempt, host in list(node.in_flight.items()):
            self._finish_attempt(node, attempt, host, Outcome.RESET)

    def remove_node(self, node: Node) -> None:
        """Ends a node's process and removes it from the endpoint list."""
        self.crash_node(node)
        self.set_health(node, Health.REMOVED)

    def _crash_by_overload(self, node: Node) -> None:
        self.ledger.write(BackendCrashed(self.clock.now, node.spec.name))
        self.crash_node(node)

    def send_attempt(self, host: Host, request: str, attempt: Attempt) -> None:
        """Connects to the attempt's backend; the request arrives, or connecting fails, after a delay."""
        node = self.nodes.get(attempt.backend)
        if node is None or not node.running or self.rng.random() < self.conditions.broken_write_chance:
            failed = partial(host.end_attempt, attempt, Outcome.CONNECT_FAILED)
            self.clock.after(self.draw_delay_ns(), failed)
            return
        chance = self.conditions.slow_connect_chance
        is_slow = chance and self.rng.random() < chance
        wait_ns = self.draw_delay_ns() + (self.rng.randint(0, MAX_CONNECT_DELAY_NS) if is_slow else 0)
        self.clock.after(wait_ns, partial(self._receive_attempt, node, host, request, attempt))

    def _receive_attempt(self, node: Node, host: Host, request: str, attempt: Attempt) -> None:
        if not node.running:
            host.end_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        if not host.may_write(attempt):
            return
        attempt.written = True
        now = self.clock.now
        request_class, key = self._class_and_key[request]
        work_ns = request_work_ns(self.scenario.seed, request, self.scenario.mean_work_ns(request_class))
        window_ns = self._deduplication_windows.get(request_class, 0)
        taken = node.model.accept(now, request, work_ns, key, window_ns)
        self.ledger.write(
            AttemptReceived(
                now,
                now,
                request,
                node.spec.name,
                f"n{host.position}",
                work_ns,
                taken is None,
                bool(taken and taken.is_repeat),
                taken.value if taken else "",
            )
        )
        if node.model.crashed:
            self._crash_by_overload(node)
            host.end_attempt(attempt, Outcome.RESET)
        else:
            self._process_attempt(node, host, attempt, taken)

    def _process_attempt(
        self, node: Node, host: Host, attempt: Attempt, taken: AcceptedRequest | None
    ) -> None:
        """Processes an attempt as the node's model says; `taken` is None if the model rejects it."""
        if taken is None and not node.unresponsive:
            self.clock.after(self.draw_delay_ns(), partial(host.end_attempt, attempt, Outcome.REJECTED))
            return
        node.in_flight[attempt] = host
        if taken is None or node.unresponsive:
            return
        if self.rng.random() < self.conditions.reset_chance:
            reset_at = self.rng.randint(self.clock.now, taken.done_at)
            self.clock.at(reset_at, partial(self._finish_attempt, node, attempt, host, Outcome.RESET))
        else:
            finish = partial(self._finish_attempt, node, attempt, host, Outcome.OK, taken.value)
            self.clock.at(taken.done_at, finish)

    def _finish_attempt(
        self, node: Node, attempt: Attempt, host: Host, outcome: Outcome, value: str = ""
    ) -> None:
        if node.in_flight.pop(attempt, None) is not None:
            self.clock.after(self.draw_delay_ns(), partial(host.end_attempt, attempt, outcome, value))

    def close_attempt(self, host: Host, attempt: Attempt) -> None:
        """Closes the connection of an attempt from the gateway's side."""
        node = self.nodes.get(attempt.backend)
        if node is not None:
            node.in_flight.pop(attempt, None)

    def send_to_peers(self, host: Host, to: int | None, data: bytes) -> None:
        """Sends a message to one gateway or to all others; it may be lost, duplicated or reordered."""
        targets = range(self.scenario.gateways) if to is None else [to]
        for target in targets:
            if target == host.position or frozenset((target, host.position)) in self.partitioned:
                continue
            copies = 1 + (self.rng.random() < self.conditions.peer_duplication)
            for _ in range(copies * (self.rng.random() >= self.conditions.peer_loss)):
                more_ns = self.rng.randint(0, self.conditions.max_peer_delay_ns)
                deliver = partial(self._deliver_peer_message, target, host.position, data)
                self.clock.after(self.draw_delay_ns() + more_ns, deliver)

    def _deliver_peer_message(self, target: int, sender: int, data: bytes) -> None:
        if (host := self.hosts[target]) is not None:
            host.receive_peer_message(sender, data)

    def _send_next_request(self) -> None:
        """Sends a request and schedules the next one, until the load stops."""
        if self.population.rate_multiple:
            self._send_request(self.population.next_request(), MAX_GATEWAYS_TRIED)
            self.clock.after(self.population.next_pause_ns(), self._send_next_request)

    def _send_request(self, wanted: ClientRequest, gateways_left: int) -> None:
        host = self.hosts[wanted.gateway]
        if host is None:
            if gateways_left > 1:
                other = self.population.choose_gateway(wanted.tenant, wanted.gateway)
                self._send_request(replace(wanted, gateway=other), gateways_left - 1)
            return
        request, tenant = self.population.request_id(wanted), wanted.tenant
        self._class_and_key[request] = wanted.cls, wanted.key
        self.ledger.write(
            RequestSent(
                self.clock.now,
                request,
                wanted.origin,
                f"n{wanted.gateway}",
                wanted.cls,
                tenant.plan,
                tenant.number,
                wanted.units,
                wanted.timeout_ns,
            )
        )
        exchange = Exchange(self, wanted, request, host)
        self._open_exchanges[wanted.gateway][request] = exchange.lose_connection
        self.clock.after(self.draw_delay_ns(), exchange.deliver)
        self.clock.after(wanted.timeout_ns + LINGER_NS, exchange.disconnect)

    def close_exchange(self, gateway: int, request: str) -> None:
        """Forgets a request at the gateway of this position, which is no longer outstanding."""
        self._open_exchanges[gateway].pop(request, None)

    def schedule_retry(self, wanted: ClientRequest, kind: str, retry_after_ms: int) -> None:
        """Schedules the client's retry, if its behavior includes one."""
        retry = self.population.retry(wanted, kind, retry_after_ms)
        if retry is not None and self.population.rate_multiple:
            wait_ns, retried = retry
            self.clock.after(wait_ns, partial(self._send_request, retried, MAX_GATEWAYS_TRIED))

    def class_and_plan(self, wanted: ClientRequest) -> tuple[int, int]:
        """Returns the indexes of a request's class and plan in the settings."""
        return self._classes[wanted.cls], self._plans[wanted.tenant.plan]


def _settings(scenario: Scenario, position: int) -> Settings:
    return parse_settings("\n".join(flatten(scenario.settings(position))))
