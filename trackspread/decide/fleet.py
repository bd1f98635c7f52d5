"""The backends as this gateway sees them: symptoms, budgets of cold ones, and the choice among them."""

from __future__ import annotations

import random
from collections.abc import Callable

from .interface import AttemptEnded, Backend, ClassesChanged, Health, ListKind, Outcome, Settings, Topology
from .state import LONG, MEMORY, SECOND, Mean, Server, inherited

Filter = Callable[[Backend], bool]

COLD_FIRST = 0.7  # expected wait at a cold backend whose budget allows a request, against a warm one's
DOUBTED = 3.0  # added cost of a backend that lately turned the like away or left it unanswered
OTHERS = 2.0  # attempts out here that say as much of others' at a backend as the mean over backends does
SUSPEND, SUSPEND_MOST = SECOND // 2, 8 * SECOND  # first exclusion of a backend with symptoms; doubles up to
FAILS = 2  # failures in a row that count as a symptom: one may be chance


class Fleet:
    """The list of backends, their health from symptoms, cold budgets, and the choice among them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.s, self.rng = settings, rng
        self.places = max(1, settings.gateways)  # in the settings' list of gateways, gone ones among them
        self.sends = Mean(max(MEMORY, settings.fall_window))  # to warm backends, each by their number then
        self.servers: dict[int, Server] = {}
        self.silence = [Mean(LONG) for _ in settings.classes]  # part of the attempts that got no answer
        self.retired = False  # cold backends' budgets are another process's
        self.warm, self.usual, self.newest = 1, 0.0, 0  # warm backends, mean out at each, newest answered
        self.warm_at, self.none_warm = 0, False  # when any was last; whether none is

    def learn(self, now: int, event: Topology) -> None:
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            named = {entry.id for entry in event.entries}
            for known in self.servers.values():
                if known.entry.id not in named:
                    known.usable, known.listed = False, False
        for entry in event.entries:
            server = self.servers.get(entry.id)
            if server is None or server.entry.booted != entry.booted:
                # A chance part of a token: with many gateways, each seldom has a whole one to spend.
                fresh = Server(entry, Mean(MEMORY), SUSPEND, tokens=self.rng.random(), tokens_at=now)
                fresh.out = server.out if server else 0
                self.servers[entry.id] = server = fresh
            server.entry, server.usable = entry, entry.health is Health.READY
            server.listed = entry.health is not Health.GONE
        self.count(now)

    def reclass(self, event: ClassesChanged) -> None:
        """What was met under a number goes with the class that now inherits it, or is forgotten."""
        self.silence = inherited(self.silence, event.heirs, lambda: Mean(LONG))
        for server in self.servers.values():
            server.reclass(event.heirs)

    def count(self, now: int) -> None:
        # Backends come and go under ever new ids: who is off the list and holds nothing of ours is forgotten,
        # or memory and the choice's work would grow with all that ever were.
        for gone in [i for i, s in self.servers.items() if not s.listed and not s.out]:
            del self.servers[gone]
        usable = [s for s in self.servers.values() if s.usable]
        self.warm = sum(self.warmth(now, s) >= 1.0 for s in usable)
        self.none_warm = not any(now >= s.suspended and self.warmth(now, s) >= 1.0 for s in usable)
        self.warm_at = self.warm_at if self.none_warm else now
        self.usual = sum(s.out for s in usable) / max(1, len(usable))

    def warmth(self, now: int, server: Server) -> float:
        """Part of its capacity that a backend surely has; 1 once warm."""
        booted, start = server.entry.booted, self.s.start_capacity
        if not booted or now - booted >= self.s.warm_up:
            return 1.0
        return start + (1.0 - start) * max(0, now - booted) / max(1, self.s.warm_up)

    def ready(self, now: int, server: Server) -> bool:
        if not server.usable or now < server.suspended:
            return False
        warmth = self.warmth(now, server)
        if warmth >= 1.0 or self.retired:
            return warmth >= 1.0
        # Rule 4: each gateway sends a cold backend no more than its part of what a warm one gets from here,
        # or got while there was one.
        server.refill(now, warmth * self.sends.rate(max(self.warm_at, self.sends.at)))
        return server.tokens >= 1.0 or self._has_turn(now, server)

    def _has_turn(self, now: int, server: Server) -> bool:
        """Where no backend is warm, nobody may know what one carries: then gateways take turns at each, with
        one request in a turn. A turn lasts for an aim, so that a backend surely bears as much."""
        turn = self._turn(now)
        free = self.none_warm and server.turn != turn
        return free and (server.entry.id + turn) % self.places == self.s.position

    def _turn(self, now: int) -> int:
        return now // min(c.aim for c in self.s.classes)

    def wait(self, now: int, server: Server) -> float:
        """Expected time at a backend, in a request's usual latencies; others hold what own attempts say, the
        less the fewer they are. Slowness ages, or a backend once bad would never be tried again."""
        far = self.s.cross_zone_price * (server.entry.zone != self.s.zone)
        slow = min(4.0, max(0.5, server.slow.blend(now, 1.0, 3.0)))
        others = (OTHERS + server.out) / (OTHERS + self.usual) * self.usual * (self.s.gateways - 1)
        cold = COLD_FIRST if self.warmth(now, server) < 1.0 else 1.0
        return (1.0 + server.out + others) * slow * cold + far

    def choose(self, now: int, kind: tuple[int, int], avoid: set[int], allowed: Filter) -> Server | None:
        able = (s for s in self.servers.values() if s.entry.id not in avoid and allowed(s.entry))
        ready, unknown = [s for s in able if self.ready(now, s)], self.silence[kind[0]].blend(now, 0.0, 3.0)

        def cost(s: Server) -> float:
            # A backend may turn one plan away or leave one class unanswered, and serve the rest: what the
            # like met there is remembered, and while answers are lost, those that gave one are preferred.
            at, bad = s.met.get(kind[0], (now, unknown))
            bad = max(bad if now - at < 3 * LONG else unknown, now < s.full.get(kind, 0))
            return self.wait(now, s) * (1.0 + DOUBTED * bad) * (1.0 + 0.1 * self.rng.random())

        return min(ready, key=cost, default=None)

    def sent(self, now: int, server: Server) -> None:
        server.out += 1
        if self.warmth(now, server) < 1.0:
            server.take(self._turn(now))
        else:
            self.sends.add(now, 1.0, 1.0 / max(1, self.warm))

    def ended(self, now: int, event: AttemptEnded, kind: tuple[int, int], relative: float) -> None:
        server = self.servers.get(event.backend)
        if server is None:
            return
        server.out = max(0, server.out - 1)
        if event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            server.met[kind[0]] = now, float(event.outcome is Outcome.TIMEOUT)
            self.silence[kind[0]].add(now, server.met[kind[0]][1])
        elif event.outcome is Outcome.FULL:
            server.full[kind] = now + LONG
        if event.outcome is Outcome.OK:
            server.fails, server.pause = 0, SUSPEND
            self.newest = max(self.newest, now - event.elapsed)
            server.slow.add(now, min(8.0, relative))
        elif event.outcome not in (Outcome.CANCELLED, Outcome.MOOT, Outcome.FULL):
            server.fails += 1
            if server.fails >= FAILS or event.outcome is Outcome.CONNECT_FAILED:
                server.suspended, server.pause = now + server.pause, min(SUSPEND_MOST, 2 * server.pause)
