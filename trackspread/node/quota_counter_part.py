"""Connects the gateway to a shared quota counter, and answers operators' queries about a tenant.

This module may depend on calls, configuration and, for the queries, the decision module's accounts. It makes
no decisions.
"""

from __future__ import annotations

import asyncio
import logging
import os
import ssl
import stat
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import msgspec

from ..call import Call
from ..config.addresses import ConfigError, address
from ..config.operator import Counter
from ..config.platform import Config
from ..counter.host import CounterHost
from ..counter.connection import Credentials
from ..counter.quota_client import QuotaClient
from ..counter.report import TenantReport, tenant_report
from ..counter.routing import Router
from ..decide.events import Event
from ..decide.settings import Plan
from ..decide.report import Module, concurrency_cap, quota_units
from .random_seed import random_seed

log = logging.getLogger(__name__)

MAX_QUERY_BYTES = 256
QUERY_TIMEOUT_S = 5.0  # for reading a query and writing its answer
NS_PER_MS = 1_000_000


def counter_access(counter: Counter) -> Credentials:
    """Returns the credentials for the counter's servers: TLS, user and password; raises `ConfigError`."""
    context = None
    try:
        if counter.tls:
            context = ssl.create_default_context(cafile=counter.ca or None)
            if counter.certificate:
                context.load_cert_chain(counter.certificate)
        if counter.password:
            with open(counter.password, "rb"):
                pass
    except (OSError, ssl.SSLError) as error:
        raise ConfigError(f"counter.ca, counter.certificate or counter.password: {error}") from None
    return Credentials(counter.user, counter.password, context)


def _remove_stale_socket(path: str) -> None:
    """Removes a socket that an earlier process left; raises `ConfigError` if the path is something else."""
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            raise ConfigError(f"counter.status: must be a socket or an unused path, got {path!r}")
        os.unlink(path)
    except FileNotFoundError:
        pass


class QuotaCounterPart:
    """Runs the gateway's client of the shared quota counter, and the socket for operators' queries."""

    def __init__(
        self,
        config: Config,
        counter: Counter,
        now: Callable[[], int],
        module: Module,
        handle: Callable[[Event], None],
    ) -> None:
        """Creates the client; `handle` passes events to the decision module. Raises `ConfigError`."""
        self._counter = counter
        self._now = now
        self._module = module
        self._server: asyncio.Server | None = None
        seed = config.seed ^ random_seed()  # two processes may start from the same configuration
        self.client = QuotaClient(
            config.settings,
            counter.partitions,
            time.time_ns() // NS_PER_MS,
            seed,
            now(),
            partial(quota_units, module.quota),
        )
        routes = Router(
            [address(server, "counter.servers") for server in counter.servers],
            counter.cluster,
            counter.prefix,
            counter.partitions,
        )
        gateway = config.settings.gateway_index
        self.host = CounterHost(
            self.client, routes, counter_access(counter), counter.prefix, gateway, now, handle
        )

    async def start(self) -> None:
        """Connects to the servers and opens the socket for queries."""
        self.host.start()
        if path := self._counter.status:
            _remove_stale_socket(path)
            self._server = await asyncio.start_unix_server(self._answer_query, path, limit=MAX_QUERY_BYTES)
            os.chmod(path, 0o600)

    async def close(self) -> None:
        """Closes the socket for queries and the connections to the servers."""
        if self._server is not None:
            self._server.close()
            with suppress(FileNotFoundError):
                os.unlink(self._counter.status)
        await self.host.close()

    def request_arrived(self, call: Call) -> None:
        """Prepares the tenant's lease before the decision on the request.

        An exception here must not fail the request, which is then decided by the cached lease.
        """
        try:
            self.host.carry_out(
                self.client.before_request(
                    self._now(), call.tenant, call.plan, call.units, call.gateway_span, call.first_gateway
                )
            )
        except Exception:
            log.exception("quota counter: preparing the lease of tenant %016x failed", call.tenant)

    def update_plans(self, plans: tuple[Plan, ...]) -> None:
        """Applies other limits of the plans, from each tenant's next request on."""
        self.client.change_plans(plans)

    def request_allocation(self, tenant: int) -> None:
        """Asks for more of the tenant's quota, which the decision module needs."""
        self.host.carry_out(self.client.on_shortage(self._now(), tenant))

    def report(self, tenant: int) -> TenantReport:
        """Returns the present state of the tenant's lease and account."""
        now = self._now()
        account = self._module.quota.accounts.get(tenant)
        if account is not None:
            self._module.quota.refill(now, account)
        return tenant_report(now, self.client.manager, tenant, account, concurrency_cap(self._module, tenant))

    async def _answer_query(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads one line with a tenant in hexadecimal digits, and writes one line of JSON."""
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                line = (await reader.readline()).strip()
                try:
                    answer = msgspec.json.encode(self.report(int(line, 16)))
                except ValueError:
                    answer = b'{"error":"wanted a member, 16 hexadecimal digits"}'
                writer.write(answer + b"\n")
                await writer.drain()
        except (OSError, TimeoutError, ValueError):
            log.info("quota query: connection closed or timed out before the answer was written")
        finally:
            writer.close()
