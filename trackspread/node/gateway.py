"""Starts, reconfigures and stops one gateway, and hands its sockets over to another process.

`request_handler.py` handles the requests.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import chain
from pathlib import Path

from ..backends.pools import ConnectionPools
from ..backends.resp import RespAdapter
from ..config.addresses import ConfigError
from ..config.operator import DEFAULTS, Operator
from ..config.operator import needs_restart as tables_need_restart
from ..config.platform import ACCOUNT_BYTES, Config, max_accounts, needs_restart
from ..control.admin_server import AdminServer
from ..decide.backends import EndpointUpdate, EndpointUpdateKind
from ..decide.events import PeerMessage, PlansChanged
from ..fair_scheduler import FairScheduler
from ..fronts.connections import ClientConnections, PassOn
from ..lag import LagMonitor
from ..memory.account import Holder, MemoryAccount
from ..memory.overload import MIN_CAPACITY_BYTES, Overload, capacity_bytes
from ..memory.monitor import MemoryMonitor, ProcessMemory, UnmeasuredProcess
from ..fronts.resp import RespClientAdapter
from ..handover.link import HandoverSocket
from ..lists.agent import Discovery, parse_update
from ..lists.source import ListError, ListUpdate
from ..lists.services import CarriedServices
from ..peers.datagrams import PeerSocket
from .backend_list import BackendList
from .class_reload import reload_classes
from .admin_reports import AdminReports
from .handover_state import StateExporter
from .load_report import load_lines, memory_lines, surplus_lines
from .optional_parts import OptionalParts, PartContext
from .request import NS_PER_S
from .request_handler import RequestHandler
from .predecessor import Predecessor
from .successor import Successor

log = logging.getLogger(__name__)

FIRST_LIST_TIMEOUT_S = 0.5  # for the first endpoint list at the start; then the cached list is used
# A stopping gateway answers everything within this time after the longest deadline that SIGKILL waits for;
# SIGKILL comes 0.7 s after it.
ANSWER_MARGIN_S = 0.5
MAX_STOP_DEADLINE_NS = 3 * NS_PER_S  # the longest deadline that SIGKILL waits for
DRAIN_REPORT_INTERVAL_S = 1.0
CLOSE_MARGIN_S = 0.1  # after `ANSWER_MARGIN_S`, for writing the last answers and closing the connections
PEER_MESSAGES_MARGIN_S = 0.4  # after the longest deadline, during which a stopping gateway sends to its peers
HANDOVER_BIND_TIMEOUT_S = 2.0  # for an address in the fleet that the predecessor may still hold
RESERVED_DESCRIPTORS = 64  # for the listener, peers, discovery and files, not for clients or backends
LOGGED_HOLDERS = 4  # that keep most, in the line on memory
MIN_DESCRIPTORS = 16  # for clients and backends together


class Gateway(RequestHandler):
    """Runs one gateway from its start to its end."""

    def __init__(
        self,
        config: Config,
        operator: Operator = DEFAULTS,
        on_drained: Callable[[], None] = lambda: None,
        process_memory: ProcessMemory | None = None,
    ) -> None:
        """Builds the gateway without opening its sockets.

        `on_drained` is called once another process has taken over and no request is open here.
        `process_memory` measures the process that the gateway has for itself. Raises `ConfigError`.
        """
        if operator.counter.servers:
            # Gossip is off with a shared counter: two sources would each grant the complete quota.
            settings = replace(config.settings, has_leased_quotas=True, may_gossip=False)
            config = replace(config, settings=settings)
        process = process_memory or UnmeasuredProcess()
        base_bytes = process.resident_bytes()
        self._base_bytes = base_bytes
        capacity = capacity_bytes(config.memory, base_bytes)
        config = replace(config, settings=replace(config.settings, max_accounts=max_accounts(capacity)))
        super().__init__(config, operator.services)
        self.operator = operator
        self._on_drained = on_drained
        self.predecessor: Predecessor | None = None
        self.successor: Successor | None = None
        self.input_scheduler = FairScheduler(self._loop.call_soon)
        self._list_received = asyncio.Event()
        self._created_at_s = self._loop.time()
        self._lag = LagMonitor(self._loop)
        self._summary_timer: asyncio.TimerHandle | None = None
        self._drain_timer: asyncio.TimerHandle | None = None
        self._serving = False  # whether the clients' sockets are open and not about to close
        self._peer_descriptor: int | None = None  # descriptor of the peers' socket, for a handover that fails
        self.parts = OptionalParts(self._part_context())
        descriptors = self._available_descriptors()
        self._backend_descriptors = int(descriptors * operator.backends.descriptor_part)
        self._client_descriptors = descriptors - self._backend_descriptors
        self.account = MemoryAccount(capacity)
        self.overload = Overload(self.account)
        self.backends = self._make_pools()
        self.backend_list = BackendList(self.backends, self.handle)
        self._front = RespClientAdapter(config.settings, self.roster, config.plans)
        self.clients = self._make_clients()
        self.peers = PeerSocket(
            config.peers, config.peers_all, config.settings.gateway_index, self.peer_message_received
        )
        self.reports = AdminReports(self, self.backend_list, lambda: self._serving, self._load_lines)
        self.admin_server = self._make_admin_server()
        carried = CarriedServices(operator.services.carried(), self.backend_list.__contains__)
        cached_version = self._apply_cached_list(carried)
        if cached_version is None:
            self.handle(EndpointUpdate(EndpointUpdateKind.CACHED, 0, ()))
        self.discovery = self._make_discovery(cached_version, carried)
        self.memory_monitor = MemoryMonitor(
            self._loop, self.account, self.overload, process, base_bytes, self._sockets
        )
        self._register_tables()
        if self.parts.membership is not None:
            self.parts.membership.report_empty_fleet()

    def _register_tables(self) -> None:
        """Registers with the account what is kept for others than clients and backends."""
        account, accounts = self.account, self.decision_module.quota.accounts
        account.add_table(Holder.TENANTS, lambda: len(accounts) * ACCOUNT_BYTES)
        account.add_table(Holder.DISCOVERY, lambda: self.discovery.buffered_bytes)
        account.add_table(Holder.HANDOVER, self._handover_bytes)
        if (admin_server := self.admin_server) is not None:
            account.add_table(Holder.ADMIN, lambda: admin_server.buffered_bytes)

    def _handover_bytes(self) -> int:
        sides = (self.predecessor, self.successor)
        return sum(side.buffered_bytes for side in sides if side is not None)

    def _sockets(self) -> Iterator[socket.socket]:
        return chain(self.clients.sockets(), self.backends.sockets())

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
        """Returns the number of descriptors for clients and backends together."""
        reserved = RESERVED_DESCRIPTORS
        if self.config.accept_fd is not None:
            reserved *= 2  # another process may hold the same number while it takes over
        if self.parts.fleet_view is not None:
            reserved += self.parts.fleet_view.descriptors
        return max(MIN_DESCRIPTORS, self.config.sockets - reserved)

    def _make_pools(self) -> ConnectionPools:
        config = self.config
        # Only a part of the platform's grace time for draining is used, because the event loop may lag.
        grace_s = config.settings.drain_grace_ns / NS_PER_S * self.operator.backends.grace_part
        return ConnectionPools(
            self._backend_descriptors,
            config.connect_timeout / NS_PER_S,
            config.connection_idle / NS_PER_S,
            grace_s,
            self.now,
            RespAdapter(),
            self,
            self.account,
        )

    def _make_clients(self) -> ClientConnections:
        config = self.config
        return ClientConnections(
            [(each, self._front) for each in (config.listen, *self.operator.addresses())],
            self,
            self._client_descriptors,
            self.account,
            self.overload,
            self.operator.clients,
            self.input_scheduler,
            config.accept_fd,
        )

    def _make_admin_server(self) -> AdminServer | None:
        if self.config.control is None:
            return None
        return AdminServer(self.config.control, self.reports.routes() | self.parts.admin_routes())

    def _apply_cached_list(self, carried: CarriedServices) -> int | None:
        """Applies the cached endpoint list; returns its version, or None if no list can be used."""
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
            self.input_scheduler,
            config.settings.gateway_count,
            config.settings.drain_grace_ns / NS_PER_S,
            carried,
        )

    async def start(self) -> None:
        """Opens the sockets, those for clients last, when requests can be served. Raises `OSError`."""
        if self.admin_server is not None:
            await self.admin_server.start()
        handover_socket = self._make_handover_socket()
        successor = Successor(self, handover_socket) if handover_socket is not None else None
        self.successor = successor
        if successor is not None:
            successor.connect()
        else:
            await self._open_peers()
        self.discovery.start()
        await self.parts.start_records()
        self._summary_timer = self._loop.call_later(self.operator.log.tally_s, self._log_summary)
        self._lag.start()
        self.memory_monitor.start()
        await self._wait_for_list()
        if successor is not None and handover_socket is not None:
            await successor.decided()
            await self._open_peers(successor.peer_descriptor)
            self.predecessor = Predecessor(self, handover_socket, self._on_drained)
            self.predecessor.listen()
        took_over = successor is not None and successor.took_over
        if took_over:
            # The predecessor accepts nothing any more, so the clients that connect now cannot wait until this
            # process has joined the fleet.
            await self.clients.start()
        bind_timeout_s = HANDOVER_BIND_TIMEOUT_S if handover_socket is not None else 0.0
        await self.parts.start_fleet(bind_timeout_s, wait_until_ready=True)
        if not took_over:
            await self.clients.start()
        self._serving = True
        log.info("%s listening on %s:%d", self.config.name, self.config.listen[0], self.clients.port)

    async def _wait_for_list(self) -> None:
        try:
            # Serving by an old list breaks no rule, but the agent on this machine sends the new one within
            # milliseconds.
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_S):
                await self._list_received.wait()
        except TimeoutError:
            log.warning(
                "discovery: no endpoint list received within %.1f s, starting with the cached one",
                FIRST_LIST_TIMEOUT_S,
            )

    def _make_handover_socket(self) -> HandoverSocket | None:
        """Returns the socket on which two processes hand over, or None if no handover is possible.

        A handover needs a folder and a listening socket that the platform keeps for all processes.
        """
        if not self.config.handover_folder:
            return None
        if self.parts.usage is not None or self.parts.quota_counter is not None or self.services.classes:
            log.warning(
                "handover: not possible when use.folder, counter.servers or services is set, starting cold"
            )
            return None
        try:
            return HandoverSocket(Path(self.config.handover_folder), self.config.name)
        except OSError as error:
            log.warning("handover: the folder in TMPDIR cannot be used: %s, starting cold", error.strerror)
            return None

    async def _open_peers(self, descriptor: int | None = None) -> None:
        """Opens the peers' socket, by its descriptor if another process handed it over."""
        is_used = self.config.settings.may_gossip and self.parts.membership is None
        listen = self.config.peer_listen if is_used else None
        if listen is not None:
            await self.peers.start(listen, descriptor, self.config.accept_fd is not None)
        elif descriptor is not None:
            os.close(descriptor)

    def class_names(self) -> tuple[str, ...]:
        """Returns the names of the classes by number."""
        return tuple(name.decode() for name in self.roster.names)

    def share_descriptors(self, clients: int, backends: int) -> None:
        """Lowers the limits by the descriptors that another process holds; both share one total."""
        self.clients.max_connections = max(1, self._client_descriptors - clients)
        self.backends.limit_connections(max(1, self._backend_descriptors - backends))

    def share_memory(self, processes: int) -> None:
        """Shares the memory limit equally among this many processes of the gateway."""
        self.account.capacity_bytes = capacity_bytes(self.config.memory, self._base_bytes, processes)
        self.clients.capacity_changed()
        if self.account.capacity_bytes > MIN_CAPACITY_BYTES:  # with less, two do not fit at all
            self.memory_monitor.capacity_changed()

    def stop_serving(self) -> int | None:
        """Stops accepting; returns a descriptor of the peers' socket for the other process, or None."""
        self._serving = False
        self.clients.begin_handover()
        self._peer_descriptor = self.peers.detach()
        self.parts.close_fleet(leave=False)  # the successor is the same gateway in the fleet
        return os.dup(self._peer_descriptor) if self._peer_descriptor is not None else None

    def retire(self, exporter: StateExporter) -> None:
        """Stops granting, and from now on notifies the other process about what is still in flight."""
        self.handover_exporter = exporter
        for action in self.decision_module.retire(self.now()):
            self.execute(action)

    def pass_on(self, pass_on: PassOn, max_input_bytes: int) -> None:
        """Passes the clients' connections to the other process, with at most `max_input_bytes` of input."""
        self.clients.pass_on(pass_on, max_input_bytes)
        self.backends.close_all_idle()

    def is_drained(self) -> bool:
        """Passes idle connections on; returns whether no request is open and no client is connected."""
        self.clients.pass_on_all()
        return not self.requests and not self.clients.count()

    async def resume_serving(self) -> None:
        """Serves again after the other process ended, or failed to take over."""
        self.handover_exporter = None
        self.decision_module.resume()
        descriptor = self._peer_descriptor
        self._peer_descriptor = None
        await self._open_peers(descriptor)
        await self.parts.start_fleet(HANDOVER_BIND_TIMEOUT_S, wait_until_ready=False)
        await self.clients.cancel_handover()
        self._serving = not self.clients.is_closing

    async def stop(self) -> None:
        """Shuts down gracefully; everything that was accepted is answered first."""
        started_at_s = self._loop.time()
        longest_ns = min(MAX_STOP_DEADLINE_NS, self._longest_deadline_ns())
        longest_s = longest_ns / NS_PER_S
        self._log_drain()
        self.answer_all_by(self.now() + longest_ns + int(ANSWER_MARGIN_S * NS_PER_S))
        self._serving = False
        if self.parts.plan_registry is not None:
            self.parts.plan_registry.stop()
        end_s = started_at_s + longest_s + ANSWER_MARGIN_S + CLOSE_MARGIN_S
        await self.clients.drain(end_s)
        if self.predecessor is not None:
            await self.predecessor.flush(end_s)
        handed_over = self.predecessor is not None and self.predecessor.has_handed_over
        if self._summary_timer is not None:
            self._summary_timer.cancel()
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        self._lag.stop()
        self.memory_monitor.stop()
        await self.discovery.close()
        self.backends.close()
        self.parts.close_fleet(leave=not handed_over)
        if not handed_over and self._gossips():
            # The module continues to report that it uses nothing. Otherwise its peers, which the tenants now
            # use, would treat it as unresponsive and keep its share of the quotas reserved.
            stop_at_s = started_at_s + longest_s + PEER_MESSAGES_MARGIN_S
            await asyncio.sleep(max(0.0, stop_at_s - self._loop.time()))
        self.peers.close()
        if self.predecessor is not None:
            self.predecessor.close()
        if self.admin_server is not None:
            self.admin_server.close()
        await self.parts.stop_records()

    def _gossips(self) -> bool:
        """Returns whether the gateway reports its usage to its peers in its own datagrams."""
        settings = self.config.settings
        return settings.may_gossip and settings.gateway_count > 1 and self.parts.membership is None

    def _load_lines(self) -> str:
        lines = load_lines(self.decision_module, self.input_scheduler, self.clients)
        lines += surplus_lines(self.backends.context.surplus_answers)
        return lines + memory_lines(self.account, self.memory_monitor.figures())

    def _longest_deadline_ns(self) -> int:
        """Returns the longest deadline of all classes, those of open requests included."""
        return max(rule.deadline_ns for rule in self.roster.rules)

    def _log_drain(self) -> None:
        """Logs what keeps a stopping gateway, once a second."""
        now_ns = self.now()
        latest_ns = max((request.expires_at_ns for request in self.requests.values()), default=now_ns)
        log.info(
            "stopping: client connections %d, requests %d, last deadline in %.1f s, answers behind others %d",
            self.clients.count(),
            len(self.requests),
            (latest_ns - now_ns) / NS_PER_S,
            self.clients.waiting_answers(),
        )
        self._drain_timer = self._loop.call_later(DRAIN_REPORT_INTERVAL_S, self._log_drain)

    def _log_summary(self) -> None:
        """Logs one line of totals, which shows faults that no single attempt shows."""
        outcomes = ", ".join(f"{outcome.name} {count}" for outcome, count in sorted(self._outcomes.items()))
        log.info(
            "attempts: %s; requests %d, client connections %d, backend connections %d, %d of them idle; "
            "tenants %d, input deferred %d times since the start, longest delay of the loop %d ms",
            outcomes or "none",
            len(self.requests),
            self.clients.count(),
            self.backends.open_connections,
            self.backends.idle_connections(),
            len(self.decision_module.quota.accounts),
            self.input_scheduler.deferred_slices,
            self._lag.take_longest_ms(),
        )
        self._log_memory()
        self._outcomes.clear()
        self._summary_timer = self._loop.call_later(self.operator.log.tally_s, self._log_summary)

    def _log_memory(self) -> None:
        """Logs one line on the process's memory, with the holders that keep most."""
        figures = self.memory_monitor.take_figures()
        holders = ", ".join(
            f"{holder} {size >> 10}" for holder, size in self.account.by_holder().most_common(LOGGED_HOLDERS)
        )
        log.info(
            "memory: resident %d KB, peak %d KB, limit %d KB, sockets %d KB; account %d of %d KB: %s",
            figures.resident >> 10,
            figures.peak >> 10,
            self.config.memory >> 10,
            figures.sockets >> 10,
            figures.account >> 10,
            figures.capacity >> 10,
            holders,
        )

    def reconfigure(self, new_config: Config, operator: Operator) -> None:
        """Applies the parts of another configuration that need no restart.

        These are the classes, the number of attempts, discovery's address, and the operator's bounds, log
        level and keys. The endpoint list, requests and connections are not affected.
        """
        changed = needs_restart(self.config, new_config) + tables_need_restart(self.operator, operator)
        if changed:
            log.warning("configuration: a restart is needed for %s", ", ".join(changed))
        self.operator = operator
        self.clients.bounds = operator.clients
        logging.getLogger("trackspread").setLevel(operator.log.level.upper())
        self.discovery.switch_agent(new_config.discovery)
        try:
            self.parts.replace_keys(operator.fleet)
        except ConfigError as error:
            log.error(
                "configuration: the fleet's keys cannot be read, the present ones stay in force: %s", error
            )
        if self.parts.usage is None:
            reload_classes(self, self._front, new_config)
        elif (new_config.classes, new_config.settings.classes) != (
            self.config.classes,
            self.config.settings.classes,
        ):
            log.warning("configuration: a restart is needed for classes while usage is recorded")
        self.counters.reloads_ok += 1

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
        """Sends a message to one gateway, or to all, at the addresses of the fleet's view if there is one."""
        if self.parts.membership is not None:
            self.parts.membership.send(recipient, data)
        else:
            super().send_to_peers(recipient, data)

    def peer_message_received(self, sender: int, data: bytes) -> None:
        """Passes a message from another gateway to the decision module."""
        self.handle(PeerMessage(sender, data))
