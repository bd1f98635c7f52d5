"""The gateway's side of the counter: settings to a host, requests to the quota client, operators' questions.

May know: calls, configuration, the module's stores to show them. Decides nothing.
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
from ..counter.link import Access
from ..counter.quota_client import QuotaClient
from ..counter.report import Report, report
from ..counter.routes import Routes
from ..decide.events import Event
from ..decide.settings import Plan
from ..decide.report import Module, concurrency_cap, quota_units

log = logging.getLogger(__name__)

LINE_MOST = 256  # bytes of a question
ASKED_MOST = 5.0  # s that whoever asks may take


def access(counter: Counter) -> Access:
    """Raises `ConfigError`."""
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
    return Access(counter.user, counter.password, context)


def _clear(path: str) -> None:
    """A socket that a former life left; raises `ConfigError` where something else lies there."""
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            raise ConfigError(f"counter.status: found {path!r}, which is no socket, wanted a path of its own")
        os.unlink(path)
    except FileNotFoundError:
        pass


class Counted:
    """What the gateway holds while a counter is shared."""

    def __init__(
        self,
        config: Config,
        counter: Counter,
        now: Callable[[], int],
        module: Module,
        handle: Callable[[Event], None],
    ) -> None:
        self._counter, self._now, self._module, self._settings = counter, now, module, config.settings
        self._server: asyncio.Server | None = None
        seed = config.seed ^ int.from_bytes(os.urandom(8))  # a name may start twice from one configuration
        self.client = QuotaClient(
            config.settings,
            counter.partitions,
            time.time_ns() // 1_000_000,
            seed,
            now(),
            partial(quota_units, module.quota),
        )
        routes = Routes(
            [address(server, "counter.servers") for server in counter.servers],
            counter.cluster,
            counter.prefix,
            counter.partitions,
        )
        slot = config.settings.gateway_index
        self.host = CounterHost(self.client, routes, access(counter), counter.prefix, slot, now, handle)

    async def start(self) -> None:
        self.host.start()
        if path := self._counter.status:
            _clear(path)
            self._server = await asyncio.start_unix_server(self._asked, path, limit=LINE_MOST)
            os.chmod(path, 0o600)

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
            with suppress(FileNotFoundError):
                os.unlink(self._counter.status)
        await self.host.close()

    def before(self, call: Call) -> None:
        """A fault here must not cost the request: it is decided by what is kept."""
        try:
            self.host.do(
                self.client.before(self._now(), call.customer, call.plan, call.units, call.spread, call.first)
            )
        except Exception:
            log.exception("fault before a request")

    def replan(self, plans: tuple[Plan, ...]) -> None:
        """Other figures for the plans, from each customer's next request on."""
        self.client.replan(plans)

    def wanted(self, customer: int) -> None:
        self.host.do(self.client.wanted(self._now(), customer))

    # For operators.

    def report(self, customer: int) -> Report:
        now = self._now()
        account = self._module.quota.accounts.get(customer)
        if account is not None:
            self._module.quota.refill(now, account)
        return report(now, self.client.manager, customer, account, concurrency_cap(self._module, customer))

    async def _asked(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One line with a member in hexadecimal digits; one line of JSON."""
        try:
            async with asyncio.timeout(ASKED_MOST):
                line = (await reader.readline()).strip()
                try:
                    answer = msgspec.json.encode(self.report(int(line, 16)))
                except ValueError:
                    answer = b'{"error":"wanted a member, 16 hexadecimal digits"}'
                writer.write(answer + b"\n")
                await writer.drain()
        except (OSError, TimeoutError, ValueError):
            log.info("a question about a quota was not heard to its end")
        finally:
            writer.close()
