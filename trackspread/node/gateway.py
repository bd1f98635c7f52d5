"""One gateway: its sockets, its start, its end, and what another process takes over from it.

What happens to requests is `request_handler.py`'s.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from ..backends.pools import ConnectionPools
from ..backends.resp import RespAdapter
from ..config.addresses import ConfigError
from ..config.operator import DEFAULTS, Operator
from ..config.operator import needs_restart as tables_need_restart
from ..config.platform import Config, needs_restart
from ..control.admin_server import AdminServer
from ..decide.backends import EndpointUpdate, EndpointUpdateKind
from ..decide.events import PeerMessage, PlansChanged
from ..fronts.connections import ClientConnections, PassOn
from ..fronts.resp import RespClientAdapter
from ..handover.link import Rendezvous
from ..lists.agent import Discovery, parse_update
from ..lists.source import ListError, ListUpdate
from ..lists.services import CarriedServices
from ..peers.datagrams import PeerSocket
from .backend_list import BackendList
from .class_reload import reload_classes
from .door_reports import DoorReports
from .handover_state import StateExporter
from .optional_parts import OptionalParts, PartContext
from .request import NS_PER_S
from .request_handler import RequestHandler
from .predecessor import Predecessor
from .successor import Successor

log = logging.getLogger(__name__)

FIRST_LIST_TIMEOUT_S = 0.5  # at the start, until the cached endpoint list serves
# After the longest deadline, by which a stopping gateway has answered everything; SIGKILL comes 0.7 s after
# it.
ANSWER_MARGIN_S = 0.5
MAX_STOP_DEADLINE_NS = 3 * NS_PER_S  # the longest deadline that SIGKILL waits for
CLOSE_MARGIN_S = 0.1  # more, in which the last answers leave and their connections close
PEER_MESSAGES_MARGIN_S = 0.4  # after the longest deadline, until which a stopping gateway sends to its peers
HANDOVER_BIND_PATIENCE_S = 2.0  # a process that hands over may still hold the address in the fleet
RESERVED_DESCRIPTORS = 64  # neither a client's nor a backend's: listener, peers, discovery, files
MIN_DESCRIPTORS = 16  # for clients and backends together


class Gateway(RequestHandler):
    """One running gateway, from its start to its end."""

    def __init__(
        self, config: Config, operator: Operator = DEFAULTS, vacated: Callable[[], None] = lambda: None
    ) -> None:
        """`vacated` is called once another process has taken over and no request is open here.

        Raises `ConfigError`.
        """
        if operator.counter.servers:
            # No gossip between gateways beside it: two sources would each grant the complete quota.
            settings = replace(config.settings, has_leased_quotas=True, may_gossip=False)
            config = replace(config, settings=settings)
        super().__init__(config, operator.services)
        self.operator = operator
        self._vacated = vacated
        self.predecessor: Predecessor | None = None
        self._list_received = asyncio.Event()
        self._created_at_s = self._loop.time()
        self._summary_timer: asyncio.TimerHandle | None = None
        self._serving = False  # whether the clients' sockets are open, and stay so
        self._peer_descriptor: int | None = None  # of the peers' socket, kept in case a handover fails
        self.parts = OptionalParts(self._part_context())
        descriptors = self._available_descriptors()
        self._backend_descriptors = int(descriptors * operator.backends.descriptor_part)
        self._client_descriptors = descriptors - self._backend_descriptors
        self.backends = self._make_pools()
        self.backend_list = BackendList(self.backends, self.handle)
        self._front = RespClientAdapter(config.settings, self.roster, config.plans)
        self.clients = self._make_clients()
        self.peers = PeerSocket(
            config.peers, config.peers_all, config.settings.gateway_index, self.peer_message_received
        )
        self.reports = DoorReports(self, self.backend_list, lambda: self._serving)
        self.door = self._make_door()
        carried = CarriedServices(operator.services.carried(), self.backend_list.__contains__)
        cached_version = self._apply_cached_list(carried)
        if cached_version is None:
            self.handle(EndpointUpdate(EndpointUpdateKind.CACHED, 0, ()))
        self.discovery = self._make_discovery(cached_version, carried)
        if self.parts.membership is not None:
            self.parts.membership.begin()

    def _part_context(self) -> PartContext:
        return PartContext(
            self.config,
            self.operator,
            self.now,
            self.decision_module,
            self.handle,
            self.peer_message_received,
            self._plans_changed,
        )

    def _available_descriptors(self) -> int:
        """Those for clients and backends together."""
        reserved = RESERVED_DESCRIPTORS
        if self.config.accept_fd is not None:
            reserved *= 2  # another process may hold as many while it takes over
        if self.parts.fleet_view is not None:
            reserved += self.parts.fleet_view.descriptors
        return max(MIN_DESCRIPTORS, self.config.sockets - reserved)

    def _make_pools(self) -> ConnectionPools:
        config = self.config
        # Only a part of the grace time that the platform gives a drain: a loop may lag.
        grace_s = config.settings.drain_grace_ns / NS_PER_S * self.operator.backends.grace_part
        return ConnectionPools(
            self._backend_descriptors,
            config.connect_timeout / NS_PER_S,
            config.connection_idle / NS_PER_S,
            grace_s,
            self.now,
            RespAdapter(),
            self,
            config.memory,
        )

    def _make_clients(self) -> ClientConnections:
        config = self.config
        return ClientConnections(
            [(each, self._front) for each in (config.listen, *self.operator.addresses())],
            self,
            self._client_descriptors,
            config.memory,
            self.operator.clients,
            config.accept_fd,
        )

    def _make_door(self) -> AdminServer | None:
        if self.config.control is None:
            return None
        return AdminServer(self.config.control, self.reports.answers() | self.parts.door_answers())

    def _apply_cached_list(self, carried: CarriedServices) -> int | None:
        """Take up the endpoint list last known; its version, or None where there is none to use."""
        config = self.config
        if config.known is None:
            return None
        try:
            cached = parse_update(config.known, config.zones, config.kinds, cached=True, services=carried)
            self.backend_list.apply(cached)
        except ListError as error:
            log.warning("discovery: the cached endpoint list is not used: %s", error)
            return None
        return cached.topology.version

    def _make_discovery(self, version: int | None, carried: CarriedServices) -> Discovery:
        config = self.config
        return Discovery(
            config.discovery,
            config.zones,
            config.kinds,
            version,
            self._list_update_received,
            config.settings.gateway_count,
            config.settings.drain_grace_ns / NS_PER_S,
            carried,
        )

    # Start.

    async def start(self) -> None:
        """Open the sockets; the clients' come last, when requests can be served. Raises `OSError`."""
        if self.door is not None:
            await self.door.start()
        rendezvous = self._make_rendezvous()
        successor = Successor(self, rendezvous) if rendezvous is not None else None
        if successor is not None:
            successor.seek()
        else:
            await self._open_peers()
        self.discovery.start()
        await self.parts.start_records()
        self._summary_timer = self._loop.call_later(self.operator.log.tally_s, self._log_summary)
        await self._wait_for_list()
        if successor is not None and rendezvous is not None:
            await successor.decided()
            await self._open_peers(successor.peer_descriptor)
            self.predecessor = Predecessor(self, rendezvous, self._vacated)
            self.predecessor.listen()
        took_over = successor is not None and successor.took_over
        if took_over:
            # The old process accepts nothing any more: clients that connect now cannot wait for the fleet.
            await self.clients.start()
        patience_s = HANDOVER_BIND_PATIENCE_S if rendezvous is not None else 0.0
        await self.parts.start_fleet(patience_s, wait_until_ready=True)
        if not took_over:
            await self.clients.start()
        self._serving = True
        log.info("%s listening on %s:%d", self.config.name, self.config.listen[0], self.clients.port)

    async def _wait_for_list(self) -> None:
        try:
            # An old list breaks no rule, but the agent on this machine sends the new one within milliseconds.
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self._list_received.wait()
        except TimeoutError:
            log.warning(
                "discovery: no endpoint list after %.1f s, starting with the one last known",
                FIRST_LIST_TIMEOUT_S,
            )

    def _make_rendezvous(self) -> Rendezvous | None:
        """Where an old process and a new one meet; none where the platform holds no socket for clients."""
        if not self.config.meeting:
            return None
        if self.parts.usage is not None or self.parts.quota_counter is not None or self.services.classes:
            log.warning(
                "handover: not possible with use.folder, counter.servers or services set: starting cold"
            )
            return None
        try:
            return Rendezvous(Path(self.config.meeting), self.config.name)
        except OSError as error:
            log.warning("handover: TMPDIR cannot be used: %s, starting cold", error.strerror)
            return None

    async def _open_peers(self, descriptor: int | None = None) -> None:
        """`descriptor`: of the peers' socket, where another process handed it over."""
        is_used = self.config.settings.may_gossip and self.parts.membership is None
        listen = self.config.peer_listen if is_used else None
        if listen is not None:
            await self.peers.start(listen, descriptor, self.config.accept_fd is not None)
        elif descriptor is not None:
            os.close(descriptor)

    # For another process that takes over.

    def class_names(self) -> tuple[str, ...]:
        """The names of the classes by number."""
        return tuple(name.decode() for name in self.roster.names)

    def share_descriptors(self, clients: int, backends: int) -> None:
        """Descriptors that another process holds of those that both have together."""
        self.clients.max_connections = max(1, self._client_descriptors - clients)
        self.backends.limit_connections(max(1, self._backend_descriptors - backends))

    def freeze(self) -> int | None:
        """Accept nothing more; returns a descriptor of the peers' socket, for the other process."""
        self._serving = False
        self.clients.begin_handover()
        self._peer_descriptor = self.peers.detach()
        self.parts.close_fleet(leave=False)  # the process that takes over is the same gateway to the fleet
        return os.dup(self._peer_descriptor) if self._peer_descriptor is not None else None

    def retire(self, exporter: StateExporter) -> None:
        """Grant nothing more, and notify the other process of what is still in flight."""
        self.handover_exporter = exporter
        for action in self.decision_module.retire(self.now()):
            self.execute(action)

    def pass_on(self, pass_on: PassOn) -> None:
        """Give the clients' connections to the other process."""
        self.clients.pass_on(pass_on)
        self.backends.close_all_idle()

    def is_vacant(self) -> bool:
        """Whether no request is open here and no client connected; idle connections leave meanwhile."""
        self.clients.pass_on_all()
        return not self.requests and not self.clients.count()

    async def unfreeze(self) -> None:
        """Serve on: the other process is gone, or never came to serve."""
        self.handover_exporter = None
        self.decision_module.resume()
        descriptor = self._peer_descriptor
        self._peer_descriptor = None
        await self._open_peers(descriptor)
        await self.parts.start_fleet(HANDOVER_BIND_PATIENCE_S, wait_until_ready=False)
        await self.clients.cancel_handover()
        self._serving = not self.clients.is_closing

    # Stop.

    async def stop(self) -> None:
        """Shut down gracefully: all that was accepted is answered first."""
        began_s = self._loop.time()
        longest_ns = self._longest_deadline_ns()
        longest_s = longest_ns / NS_PER_S
        answer_within_ns = min(MAX_STOP_DEADLINE_NS, longest_ns) + int(ANSWER_MARGIN_S * NS_PER_S)
        self.answer_by_ns = self.now() + answer_within_ns
        self._serving = False
        if self.parts.plan_registry is not None:
            self.parts.plan_registry.stop()
        await self.clients.drain(began_s + longest_s + ANSWER_MARGIN_S + CLOSE_MARGIN_S)
        handed_over = self.predecessor is not None and self.predecessor.has_handed_over
        if self._summary_timer is not None:
            self._summary_timer.cancel()
        await self.discovery.close()
        self.backends.close()
        self.parts.close_fleet(leave=not handed_over)
        if not handed_over and self._gossips():
            # The module goes on reporting that nothing is used here. Its peers, which the tenants now use,
            # would reserve this gateway's share of the quotas for one that became unresponsive.
            stop_at_s = began_s + longest_s + PEER_MESSAGES_MARGIN_S
            await asyncio.sleep(max(0.0, stop_at_s - self._loop.time()))
        self.peers.close()
        if self.predecessor is not None:
            self.predecessor.close()
        if self.door is not None:
            self.door.close()
        await self.parts.stop_records()

    def _gossips(self) -> bool:
        """Whether it reports its usage to peers by datagrams of its own."""
        settings = self.config.settings
        return settings.may_gossip and settings.gateway_count > 1 and self.parts.membership is None

    def _longest_deadline_ns(self) -> int:
        """The longest time that a request which arrives now or is open may take."""
        return max(rule.deadline_ns for rule in self.roster.rules)

    # While it runs.

    def _log_summary(self) -> None:
        """One line for the operators, which shows faults that no single attempt does."""
        outcomes = ", ".join(f"{outcome.name} {count}" for outcome, count in sorted(self._outcomes.items()))
        log.info(
            "attempts: %s; requests %d, connections of clients %d, to backends %d, of these idle %d",
            outcomes or "none",
            len(self.requests),
            self.clients.count(),
            self.backends.open_connections,
            self.backends.idle_connections(),
        )
        self._outcomes.clear()
        self._summary_timer = self._loop.call_later(self.operator.log.tally_s, self._log_summary)

    def reconfigure(self, fresh: Config, operator: Operator) -> None:
        """Put another configuration in force, as far as that is possible without a restart.

        That is: the classes and the number of attempts, where discovery is, the operator's bounds, log level
        and keys. Endpoint list, requests and connections stay as they are.
        """
        changed = needs_restart(self.config, fresh) + tables_need_restart(self.operator, operator)
        if changed:
            log.warning("configuration: a restart is needed for %s", ", ".join(changed))
        self.operator = operator
        self.clients.bounds = operator.clients
        logging.getLogger("trackspread").setLevel(operator.log.level.upper())
        self.discovery.switch_agent(fresh.discovery)
        try:
            self.parts.replace_keys(operator.fleet)
        except ConfigError as error:
            log.error(
                "configuration: the fleet's keys could not be read, the present ones stay in force: %s", error
            )
        if self.parts.usage is None:
            reload_classes(self, self._front, fresh)
        elif (fresh.classes, fresh.settings.classes) != (self.config.classes, self.config.settings.classes):
            log.warning("configuration: a restart is needed for classes while usage is recorded")
        self.figures.reloads_ok += 1

    def _plans_changed(self, event: PlansChanged) -> None:
        if self.parts.quota_counter is not None:
            self.parts.quota_counter.update_plans(event.plans)
        self.handle(event)

    def _list_update_received(self, update: ListUpdate) -> None:
        self.backend_list.apply(update)
        if not self._list_received.is_set():
            self._list_received.set()
            elapsed_s = self._loop.time() - self._created_at_s
            log.info("discovery: first endpoint list %.2f s after the start", elapsed_s)

    def send_to_peers(self, recipient: int | None, data: bytes) -> None:
        """Send a message to one gateway, or to all; by the addresses of the view, where there is one."""
        if self.parts.membership is not None:
            self.parts.membership.send(recipient, data)
        else:
            super().send_to_peers(recipient, data)

    def peer_message_received(self, sender: int, data: bytes) -> None:
        """A message from another gateway, for the decision module."""
        self.handle(PeerMessage(sender, data))
