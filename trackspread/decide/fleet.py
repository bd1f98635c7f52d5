"""The backends as this gateway sees them: symptoms, budgets of cold ones, and the choice among them."""

from __future__ import annotations

import random
from collections.abc import Callable

from .backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from .events import AttemptEnded, ClassesChanged, Outcome
from .settings import Settings
from .backend_state import BackendState
from .decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean, inherited
from .time_units import SECOND

Filter = Callable[[Backend], bool]

COLD_FIRST = 0.7  # expected wait at a cold backend whose budget allows a request, against a warm one's
DOUBTED = 3.0  # added cost of a backend that lately turned the like away or left it unanswered
OTHERS = 2.0  # attempts out here that say as much of others' at a backend as the mean over backends does
SUSPEND, SUSPEND_MOST = SECOND // 2, 8 * SECOND  # first exclusion of a backend with symptoms; doubles up to
FAILS = 2  # failures in a row that count as a symptom: one may be chance


class Fleet:
    """The list of backends, their health from symptoms, cold budgets, and the choice among them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.gateway_list_size = max(
            1, settings.gateway_count
        )  # in the settings' list of gateways, gone ones among them
        self.warm_attempts = DecayingMean(
            max(SHORT_TERM, settings.overload_window_ns)
        )  # to warm backends, each by their number then
        self.servers: dict[int, BackendState] = {}
        self.timeout_rate = [
            DecayingMean(LONG_TERM) for _ in settings.classes
        ]  # part of the attempts that got no answer
        self.retired = False  # cold backends' budgets are another process's
        self.warm_backends, self.mean_in_flight, self.newest_answered_ns = (
            1,
            0.0,
            0,
        )  # warm backends, mean out at each, newest answered
        self.last_warm_at_ns, self.none_warm = 0, False  # when any was last; whether none is

    def learn(self, now: int, event: EndpointUpdate) -> None:
        if event.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED):
            named = {entry.id for entry in event.backends}
            for known in self.servers.values():
                if known.backend.id not in named:
                    known.is_usable, known.is_listed = False, False
        for entry in event.backends:
            server = self.servers.get(entry.id)
            if server is None or server.backend.started_at_ns != entry.started_at_ns:
                # A chance part of a token: with many gateways, each seldom has a whole one to spend.
                fresh = BackendState(
                    entry,
                    DecayingMean(SHORT_TERM),
                    SUSPEND,
                    slow_start_tokens=self.rng.random(),
                    tokens_refilled_at_ns=now,
                )
                fresh.in_flight = server.in_flight if server else 0
                self.servers[entry.id] = server = fresh
            server.backend, server.is_usable = entry, entry.health is Health.READY
            server.is_listed = entry.health is not Health.REMOVED
        self.count(now)

    def reclass(self, event: ClassesChanged) -> None:
        """What was met under a number goes with the class that now inherits it, or is forgotten."""
        self.timeout_rate = inherited(self.timeout_rate, event.predecessors, lambda: DecayingMean(LONG_TERM))
        for server in self.servers.values():
            server.reclass(event.predecessors)

    def count(self, now: int) -> None:
        # Backends come and go under ever new ids: who is off the list and holds nothing of ours is forgotten,
        # or memory and the choice's work would grow with all that ever were.
        for gone in [i for i, s in self.servers.items() if not s.is_listed and not s.in_flight]:
            del self.servers[gone]
        usable = [s for s in self.servers.values() if s.is_usable]
        self.warm_backends = sum(self.warmth(now, s) >= 1.0 for s in usable)
        self.none_warm = not any(now >= s.ejected_until_ns and self.warmth(now, s) >= 1.0 for s in usable)
        self.last_warm_at_ns = self.last_warm_at_ns if self.none_warm else now
        self.mean_in_flight = sum(s.in_flight for s in usable) / max(1, len(usable))

    def warmth(self, now: int, server: BackendState) -> float:
        """Part of its capacity that a backend surely has; 1 once warm."""
        booted, start = server.backend.started_at_ns, self.settings.slow_start_capacity
        if not booted or now - booted >= self.settings.slow_start_ns:
            return 1.0
        return start + (1.0 - start) * max(0, now - booted) / max(1, self.settings.slow_start_ns)

    def ready(self, now: int, server: BackendState) -> bool:
        if not server.is_usable or now < server.ejected_until_ns:
            return False
        warmth = self.warmth(now, server)
        if warmth >= 1.0 or self.retired:
            return warmth >= 1.0
        # Rule 4: each gateway sends a cold backend no more than its part of what a warm one gets from here,
        # or got while there was one.
        server.refill(
            now,
            warmth
            * self.warm_attempts.rate_per_s(max(self.last_warm_at_ns, self.warm_attempts.updated_at_ns)),
        )
        return server.slow_start_tokens >= 1.0 or self._has_turn(now, server)

    def _has_turn(self, now: int, server: BackendState) -> bool:
        """Where no backend is warm, nobody may know what one carries: then gateways take turns at each, with
        one request in a turn. A turn lasts for an aim, so that a backend surely bears as much."""
        turn = self._turn(now)
        free = self.none_warm and server.last_turn != turn
        return free and (server.backend.id + turn) % self.gateway_list_size == self.settings.gateway_index

    def _turn(self, now: int) -> int:
        return now // min(c.latency_objective_ns for c in self.settings.classes)

    def wait(self, now: int, server: BackendState) -> float:
        """Expected time at a backend, in a request's usual latencies; others hold what own attempts say, the
        less the fewer they are. Slowness ages, or a backend once bad would never be tried again."""
        far = self.settings.cross_zone_cost * (server.backend.zone != self.settings.zone)
        slow = min(4.0, max(0.5, server.slowness.blend(now, 1.0, 3.0)))
        others = (
            (OTHERS + server.in_flight)
            / (OTHERS + self.mean_in_flight)
            * self.mean_in_flight
            * (self.settings.gateway_count - 1)
        )
        cold = COLD_FIRST if self.warmth(now, server) < 1.0 else 1.0
        return (1.0 + server.in_flight + others) * slow * cold + far

    def choose(
        self, now: int, kind: tuple[int, int], avoid: set[int], allowed: Filter
    ) -> BackendState | None:
        able = (s for s in self.servers.values() if s.backend.id not in avoid and allowed(s.backend))
        ready, unknown = (
            [s for s in able if self.ready(now, s)],
            self.timeout_rate[kind[0]].blend(now, 0.0, 3.0),
        )

        def cost(s: BackendState) -> float:
            # A backend may turn one plan away or leave one class unanswered, and serve the rest: what the
            # like met there is remembered, and while answers are lost, those that gave one are preferred.
            at, bad = s.last_response.get(kind[0], (now, unknown))
            bad = max(bad if now - at < 3 * LONG_TERM else unknown, now < s.rejecting_until_ns.get(kind, 0))
            return self.wait(now, s) * (1.0 + DOUBTED * bad) * (1.0 + 0.1 * self.rng.random())

        return min(ready, key=cost, default=None)

    def sent(self, now: int, server: BackendState) -> None:
        server.in_flight += 1
        if self.warmth(now, server) < 1.0:
            server.take(self._turn(now))
        else:
            self.warm_attempts.add(now, 1.0, 1.0 / max(1, self.warm_backends))

    def ended(self, now: int, event: AttemptEnded, kind: tuple[int, int], relative: float) -> None:
        server = self.servers.get(event.backend)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            server.last_response[kind[0]] = now, float(event.outcome is Outcome.TIMEOUT)
            self.timeout_rate[kind[0]].add(now, server.last_response[kind[0]][1])
        elif event.outcome is Outcome.REJECTED:
            server.rejecting_until_ns[kind] = now + LONG_TERM
        if event.outcome is Outcome.OK:
            server.consecutive_failures, server.ejection_ns = 0, SUSPEND
            self.newest_answered_ns = max(self.newest_answered_ns, now - event.elapsed_ns)
            server.slowness.add(now, min(8.0, relative))
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT, Outcome.REJECTED):
            server.consecutive_failures += 1
            if server.consecutive_failures >= FAILS or event.outcome is Outcome.CONNECT_FAILED:
                server.ejected_until_ns, server.ejection_ns = (
                    now + server.ejection_ns,
                    min(SUSPEND_MOST, 2 * server.ejection_ns),
                )
