"""Reports to operators how loaded the process itself is: its loop, its tables and its clients' connections.

With the log they tell apart what keeps clients waiting: the gateway itself, its backends, or limits.
"""

from __future__ import annotations

from dataclasses import asdict

from ..backends.surplus_answers import SurplusAge, SurplusAnswers
from ..decide.report import Module, early_rejections
from ..fair_scheduler import FairScheduler
from ..fronts.close_reason import CloseReason
from ..fronts.connections import ClientConnections
from ..memory.account import MemoryAccount
from ..memory.monitor import MemoryFigures


def load_lines(module: Module, scheduler: FairScheduler, clients: ClientConnections) -> str:
    """Returns the figures as `name=value` lines, including those that are 0."""
    figures = {
        "clients": clients.count(),
        "unprocessed_bytes": clients.unprocessed_bytes,
        "input_waiting": scheduler.waiting,
        "input_deferred": scheduler.deferred_slices,
        "tenants": len(module.quota.accounts),
        "units_in_transit": round(sum(each.units_in_transit for each in module.quota.accounts.values())),
    }
    figures |= {f"rejected.{reason}": count for reason, count in early_rejections(module).items()}
    figures |= {f"closed.{reason}": clients.closed[reason] for reason in CloseReason}
    return "".join(f"router.{name}={value}\n" for name, value in figures.items())


def surplus_lines(surplus_answers: SurplusAnswers) -> str:
    """Returns how often backends sent bytes that belong to no request, by when they came."""
    return "".join(f"router.surplus.{age}={surplus_answers.counts[age]}\n" for age in SurplusAge)


def memory_lines(account: MemoryAccount, figures: MemoryFigures) -> str:
    """Returns the memory of the process and of its sockets, and what the account keeps for each holder."""
    sizes = {f"{name}_bytes": size for name, size in asdict(figures).items()}
    sizes |= {f"{holder}_bytes": size for holder, size in account.by_holder().items()}
    return "".join(f"router.memory.{name}={size}\n" for name, size in sizes.items())
