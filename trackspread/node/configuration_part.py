"""Subscribes the gateway to the configuration that replicas distribute, by the operator's table.

Operators can query the received configuration; the gateway takes no setting from it yet. This module may
depend on configuration and the subscription. It makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from ..config.addresses import Address, address
from ..config.operator import Fleet, Operator
from ..distribution.host import SubscriberHost
from ..distribution.report import subscription_report
from ..distribution.settings import SubscriberSettings
from ..distribution.wire import Wire
from ..membership.host import created_now_ms
from .bind_retry import bind_within
from .fleet_keys import read_keys
from .random_seed import random_seed


class ConfigurationPart:
    """Runs the gateway's subscription, with a new host after each start."""

    def __init__(self, name: str, operator: Operator, now: Callable[[], int]) -> None:
        """Reads the fleet's keys; `now` is the gateway's clock, in ns. Raises `ConfigError`."""
        self._name = name
        self._operator = operator
        self._now = now
        self._wire = Wire(operator.fleet.name, read_keys(operator.fleet))
        self.host: SubscriberHost | None = None

    async def start(self, bind_timeout_s: float = 0.0) -> None:
        """Subscribes; raises `OSError` if the address cannot be bound within `bind_timeout_s`.

        An ending process may still hold the address for a short time.
        """
        await bind_within(bind_timeout_s, self._start)

    async def _start(self) -> None:
        host = self._make_host()
        try:
            await host.start()
        except OSError:
            host.close()
            raise
        self.host = host

    def _make_host(self) -> SubscriberHost:
        table = self._operator.configuration
        replicas = table.addresses()
        near = tuple(address(each, "configuration.near") for each in table.near) or self._in_own_region(
            replicas
        )
        others = tuple(each for each in replicas if each not in near)
        carried = frozenset(self._operator.services.carries)
        services = frozenset(table.services) or carried or None
        return SubscriberHost(
            self._name,
            SubscriberSettings(near, services, others),
            address(table.listen, "configuration.listen"),
            self._wire,
            random_seed(),
            created_now_ms(),
            self._now,
            record=Path(table.record) if table.record else None,
        )

    def _in_own_region(self, replicas: tuple[Address, ...]) -> tuple[Address, ...]:
        """Returns the replicas on control machines of this gateway's region, or all if there are none."""
        fleet = self._operator.fleet
        placed = zip(replicas, fleet.control, strict=False)
        return tuple(each for each, machine in placed if machine.region == fleet.region) or replicas

    def replace_keys(self, fleet: Fleet) -> None:
        """Reads the keys again; if it raises `ConfigError`, the present ones stay in force."""
        self._wire.keys = read_keys(fleet)

    def close(self) -> None:
        """Ends the subscription."""
        if self.host is not None:
            self.host.close()
            self.host = None

    def answer(self) -> tuple[int, str]:
        """Returns status and body for the admin server."""
        if self.host is None:
            return 503, "takes no configuration at this moment\n"
        return 200, msgspec.json.encode(subscription_report(self._now(), self.host)).decode() + "\n"
