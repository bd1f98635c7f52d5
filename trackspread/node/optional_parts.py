"""Creates the parts of a gateway that the operator's file turns on.

A part is imported only if it is turned on, because its modules take memory. This module may depend on the
parts and their settings. It makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from ..call import Call
from ..config.operator import Fleet, Operator
from ..config.platform import Config
from ..control.admin_server import Routes
from ..decide.events import Event, PlansChanged
from ..decide.report import Module
from ..usage.record import Ending

if TYPE_CHECKING:
    from .cell_part import CellPart
    from .configuration_part import ConfigurationPart
    from .membership_part import MembershipPart
    from .plan_registry_part import PlanRegistryPart
    from .quota_counter_part import QuotaCounterPart
    from .usage_part import UsagePart


@dataclass(frozen=True, slots=True)
class PartContext:
    """Holds what the parts need of their gateway."""

    config: Config
    operator: Operator
    now: Callable[[], int]  # ns
    decision_module: Module
    handle: Callable[[Event], None]
    peer_message_received: Callable[[int, bytes], None]
    plans_changed: Callable[[PlansChanged], None]


class OptionalParts:
    """Holds the parts that are turned on, and None for each that is not."""

    def __init__(self, context: PartContext) -> None:
        """Creates the parts; raises `ConfigError`."""
        self.membership = _make_membership(context)
        self.cell = _make_cell(context)
        self.configuration = _make_configuration(context)
        self.plan_registry = _make_plan_registry(context)
        self.usage = _make_usage(context)
        self.quota_counter = _make_quota_counter(context)

    @property
    def fleet_view(self) -> MembershipPart | CellPart | None:
        """The part for the view of the fleet or of a cell, or None."""
        return self.membership or self.cell

    def admin_routes(self) -> Routes:
        """Returns the parts' functions that answer at the admin server, by path."""
        routes: Routes = {}
        if self.fleet_view is not None:
            routes[b"/fleet"] = self.fleet_view.answer
        if self.configuration is not None:
            routes[b"/configuration"] = self.configuration.answer
        return routes

    async def start_records(self) -> None:
        """Starts the parts that the first request needs: usage records, plans and the quota counter."""
        if self.usage is not None:
            self.usage.start()
        if self.plan_registry is not None:
            self.plan_registry.start()
        if self.quota_counter is not None:
            await self.quota_counter.start()

    async def start_fleet(self, bind_timeout_s: float, wait_until_ready: bool) -> None:
        """Joins the fleet, its cell and the distribution of configuration; raises `OSError`.

        A process that hands over may still hold the addresses, so binding is retried for `bind_timeout_s`.
        With `wait_until_ready` this waits for the slots of shared quotas.
        """
        if self.membership is not None:
            await self.membership.start(bind_timeout_s)
            if wait_until_ready:
                await self.membership.wait_until_ready()
        if self.cell is not None:
            await self.cell.start(bind_timeout_s)
        if self.configuration is not None:
            await self.configuration.start(bind_timeout_s)

    def close_fleet(self, leave: bool) -> None:
        """Ends these memberships; with `leave` False another process continues under this name."""
        if self.membership is not None:
            self.membership.close(leave=leave)
        if self.cell is not None:
            self.cell.close(leave=leave)
        if self.configuration is not None:
            self.configuration.close()

    async def stop_records(self) -> None:
        """Stops the quota counter and the usage records; no request may be open any more."""
        if self.quota_counter is not None:
            await self.quota_counter.close()
        if self.usage is not None:
            await self.usage.stop()

    def replace_keys(self, fleet: Fleet) -> None:
        """Reads the fleet's keys again; if it raises `ConfigError`, the present ones stay in force."""
        if self.fleet_view is None:
            return
        self.fleet_view.replace_keys(fleet)
        if self.configuration is not None:
            self.configuration.replace_keys(fleet)

    def record_usage(self, call: Call, ending: Ending, attempts: int) -> None:
        """Records a request's final answer, if usage is recorded."""
        if self.usage is not None:
            plan_version = self.plan_registry.version if self.plan_registry is not None else 0
            self.usage.record(call, ending, attempts, plan_version)


def _make_membership(context: PartContext) -> MembershipPart | None:
    fleet = context.operator.fleet
    if not fleet.name or fleet.control:
        return None
    from .membership_part import MembershipPart

    settings = context.config.settings
    return MembershipPart(
        context.config.name,
        fleet,
        context.now,
        (settings.gateway_index, settings.gateway_count),
        context.handle,
        context.peer_message_received,
    )


def _make_cell(context: PartContext) -> CellPart | None:
    if not context.operator.fleet.control:
        return None
    from .cell_part import CellPart

    return CellPart(context.config.name, context.operator.fleet, context.now)


def _make_configuration(context: PartContext) -> ConfigurationPart | None:
    if not context.operator.configuration.listen:
        return None
    from .configuration_part import ConfigurationPart

    return ConfigurationPart(context.config.name, context.operator, context.now)


def _make_plan_registry(context: PartContext) -> PlanRegistryPart | None:
    if not context.operator.plans.book:
        return None
    from .plan_registry_part import PlanRegistryPart

    return PlanRegistryPart(Path(context.operator.plans.book), context.config, context.plans_changed)


def _make_usage(context: PartContext) -> UsagePart | None:
    if not context.operator.use.folder:
        return None
    from .usage_part import UsagePart

    return UsagePart(context.config, context.operator.use, context.now)


def _make_quota_counter(context: PartContext) -> QuotaCounterPart | None:
    if not context.operator.counter.servers:
        return None
    from .quota_counter_part import QuotaCounterPart

    return QuotaCounterPart(
        context.config, context.operator.counter, context.now, context.decision_module, context.handle
    )
