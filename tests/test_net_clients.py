"""The gateway as its clients see it, over loopback sockets."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import hiredis
import pytest

from trackspread.config.operator import DEFAULTS, ClientBounds, Operator
from trackspread.decide.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    ClientLeft,
    CloseIdle,
    Event,
    Fail,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Send,
    SetTimer,
    Tell,
    TimerFired,
    Topology,
)
from trackspread.fronts import client as one_client
from trackspread.fronts import connections as clients

from .fakes import CUSTOMER, World, bulk, call, host, listing, run, served, soon, until, world

MS, SECOND = 1_000_000, 1_000_000_000


class Script:
    """Stands in for the module: does for each arrival what the test says, and notes every event."""

    def __init__(self, *plans: Any) -> None:
        self.plans, self.events = list(plans), list[Event]()

    def handle(self, now: int, event: Event) -> list[Action]:
        self.events.append(event)
        if not isinstance(event, Arrival):
            return []
        plan = self.plans.pop(0)
        if isinstance(plan, Exception):
            raise plan
        actions: list[Action] = plan(event)
        return actions

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


def script(w: World, *plans: Any) -> Script:
    made = Script(*plans)
    w.node.module = made  # type: ignore[assignment]
    return made


def let_time_pass(w: World, s: Script) -> None:
    """As if the latest request's time were over, however fast the machine is."""
    w.node.now.base += 60 * SECOND
    w.node.time_is_up(s.of(Arrival)[-1].request)
    w.node.now.base -= 60 * SECOND


def only_backend(w: World) -> int:
    return w.node.backends.known()[0]


def test_request_and_value_pass_through_unchanged() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next() == b"PONG"
            body = b"\x00\r\n$5\r\n" * 100
            client.send(call("submit", 0x9B1F, wait_ms=1500, body=body, extra=",r=1,odd=\xff"))
            connection, words = await w.backend.command()
            left = int(words[3].split(b",d=")[1].split(b",")[0])
            assert 500 < left < 1500
            assert words == [
                b"CALL.POST", CUSTOMER, b"0000000000009b1f",
                b"c=submit,t=team,d=%d,k=5c0f6e1a2b3d4c59,units=1,spread=2,first=0,r=1,odd=\xc3\xbf" % left,
                body,
            ]
            value = bytes(range(256)) * 256
            connection.send(served(value))
            assert await client.next() == value

    run(test)


def test_arrival_tells_the_module_what_the_client_said() -> None:
    async def test() -> None:
        async with world() as w:
            s = script(w, lambda a: [Refuse(a.request, 1_500_001)], lambda a: [Refuse(a.request, 0)])
            client = await w.client()
            client.send(call("charge", wait_ms=480, extra=",r=1"))
            answer = await client.next()
            assert isinstance(answer, hiredis.ReplyError) and str(answer) == "BUSY 2"
            (arrival,) = s.of(Arrival)
            assert (arrival.cls, arrival.plan, arrival.customer) == (2, 0, 0xB4D65521)
            assert (arrival.units, arrival.spread, arrival.first, arrival.options) == (1.0, 2, 0, 2)
            client.send(call())
            assert str(await client.next()) == "BUSY"
            assert s.of(Arrival)[1].options == 0

    run(test)


def test_what_the_module_counts_as_out_agrees_with_the_sockets_and_ends_at_zero() -> None:
    """After good answers, errors, refusals, spoilt answers, resets, clients that leave, and a drain."""

    async def test() -> None:
        async with world() as w:
            module, backends = w.node.broker, w.node.backends
            endings = [served(b"v"), b"-ERR failed\r\n", b"-BUSY\r\n", b"*100000000\r\n", served(b"v") * 2,
                       b"", None, served(b"v")]
            for number, ending in enumerate(endings):
                client = await w.client()
                client.send(call("charge", number, wait_ms=1500))
                connection, _ = await w.backend.command()
                busy = backends.open - backends.idle()
                assert module.out == busy == sum(s.out for s in module.fleet.servers.values()) == 1
                if number == len(endings) - 1:
                    w.agent.tell(listing(2, host("s-1", w.backend.port, "terminating")))
                    await until(lambda: not backends.usable())
                if ending is None:
                    client.abort()
                    await until(lambda: not module.open)
                    ending = served(b"for nobody")
                if ending == b"-BUSY\r\n":
                    # Never ran, so it is tried again; there is but one backend to do so.
                    connection.send(ending)
                    connection, _ = await w.backend.command()
                    assert module.out == 1
                connection.send(ending) if ending else connection.abort()
                await until(lambda: module.out == 0)
                assert not module.attempts and not module.open and not w.node.requests
                assert backends.open == backends.idle() and not w.node.ids
                assert all(s.out == 0 for s in module.fleet.servers.values())
                for server in module.fleet.servers.values():
                    server.suspended = 0  # symptoms would have it rest
            await until(lambda: backends.open == 0)
            assert all(a.open == 0 for a in module.quota.accounts.values())

    run(test)


def test_answers_stand_in_the_order_of_the_commands() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call(number=1) + call(number=2) + b"*1\r\n$4\r\nPING\r\n")
            by_id = {}
            for _ in range(2):
                connection, words = await w.backend.command()
                by_id[words[2]] = connection
            by_id[b"%016x" % 2].send(served(b"two"))
            await until(lambda: w.node.backends.idle() == 1)  # the second's answer has been taken in
            by_id[b"%016x" % 1].send(served(b"one"))
            assert [await client.next() for _ in range(3)] == [b"one", b"two", b"PONG"]

    run(test)


def test_request_left_open_fails_before_the_client_gives_up() -> None:
    async def test() -> None:
        async with world() as w:
            s = script(w, lambda a: [])
            client = await w.client()
            client.send(call(wait_ms=60))
            assert str(await client.next()).startswith("ERR")
            assert len(s.of(ClientLeft)) == 1  # the module need not care for it any longer

    run(test)


def test_attempt_at_the_end_of_its_time_is_a_time_out_and_its_late_answer_goes_nowhere() -> None:
    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            client = await w.client()
            s = script(w, lambda a: [Send(a.request, backend, 0)], lambda a: [Fail(a.request)])
            client.send(call())
            connection, _ = await w.backend.command()
            let_time_pass(w, s)
            assert str(await client.next()).startswith("ERR")
            outcomes = [e.outcome for e in s.of(AttemptEnded)]
            assert outcomes == [Outcome.TIMEOUT]
            connection.send(served(b"late"))
            client.send(call(number=2))
            assert str(await client.next()) == "ERR failed"

    run(test)


def test_second_answer_of_the_module_is_dropped() -> None:
    async def test() -> None:
        async with world() as w:
            script(w, lambda a: [Fail(a.request), Refuse(a.request, 0)], lambda a: [Refuse(a.request, 0)])
            client = await w.client()
            client.send(call(number=1))
            assert str(await client.next()) == "ERR failed"
            client.send(call(number=2))
            assert str(await client.next()) == "BUSY"

    run(test)


def test_attempt_for_a_request_that_is_over_is_moot() -> None:
    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            s = script(w, lambda a: [Fail(a.request), Send(a.request, backend, 0)],
                       lambda a: [Send(a.request, backend, 0)])
            client = await w.client()
            client.send(call(number=1))
            assert str(await client.next()) == "ERR failed"
            client.send(call(number=2))
            _, words = await w.backend.command()
            assert words[2] == b"%016x" % 2  # the first was never written
            assert not s.of(ClientLeft)

    run(test)


def test_client_that_leaves_is_told_to_the_module_once() -> None:
    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            s = script(w, lambda a: [Send(a.request, backend, 0)])
            client = await w.client()
            client.send(call())
            connection, _ = await w.backend.command()
            client.abort()
            await until(lambda: bool(s.of(ClientLeft)))
            connection.send(served(b"for nobody"))
            await until(lambda: bool(s.of(AttemptEnded)))
            (ended,) = s.of(AttemptEnded)
            assert ended.finished and ended.outcome is Outcome.OK
            assert len(s.of(ClientLeft)) == 1

    run(test)


def test_fault_in_one_event_costs_one_failure(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with world() as w:
            s = script(w, KeyError("broken"), lambda a: [Refuse(a.request, 0)])
            client = await w.client()
            with caplog.at_level(logging.ERROR):
                client.send(call(number=1))
                assert str(await client.next()) == "ERR internal fault"
            assert len(s.of(ClientLeft)) == 1
            assert "KeyError: 'broken'" in caplog.text
            client.send(call(number=2))
            assert str(await client.next()) == "BUSY"

    run(test)


def test_attempt_whose_client_left_ends_with_its_time() -> None:
    """A backend that vanished says nothing: the connection would stay open, counted as out, for good."""

    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            s = script(w, lambda a: [Send(a.request, backend, 0)])
            client = await w.client()
            client.send(call())
            await w.backend.command()
            client.abort()
            await until(lambda: bool(s.of(ClientLeft)))
            assert not s.of(AttemptEnded)
            timer = w.node.requests[s.of(Arrival)[0].request].timer
            assert timer is not None and not timer.cancelled()
            let_time_pass(w, s)
            (ended,) = s.of(AttemptEnded)
            assert (ended.outcome, ended.finished) == (Outcome.TIMEOUT, True)
            await until(lambda: w.backend.ended == 1)
            assert w.node.backends.open == 0

    run(test)


def test_action_that_cannot_be_carried_out_takes_no_other_with_it(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The beat is asked for once a tick: lost with a fault it would stop, asked for again it would double."""

    async def test() -> None:
        async with world() as w:

            def tell(to: int | None, data: bytes) -> None:
                raise OSError("no buffer")

            monkeypatch.setattr(w.node.peers, "tell", tell)
            s = script(w, lambda a: [Tell(None, b"x"), SetTimer(MS, 7), Refuse(a.request, 0)])
            client = await w.client()
            client.send(call())
            assert str(await client.next()) == "BUSY"
            await until(lambda: any(event.token == 7 for event in s.of(TimerFired)))
            assert [event.token for event in s.of(TimerFired)].count(7) == 1
            assert "fault in carrying out Tell" in caplog.text

    run(test)


def test_beat_of_the_module_survives_a_fault() -> None:
    class Faulty(Script):
        def handle(self, now: int, event: Event) -> list[Action]:
            super().handle(now, event)
            raise ValueError("every time")

    async def test() -> None:
        async with world() as w:
            s = Faulty()
            w.node.module = s  # type: ignore[assignment]
            await until(lambda: len(s.of(TimerFired)) >= 2)

    run(test)


def test_list_that_meets_a_fault_is_told_again() -> None:
    """A notice of a drain must not be lost to a fault: rule 3 counts from when it was written to us."""

    class Faulty(Script):
        def handle(self, now: int, event: Event) -> list[Action]:
            super().handle(now, event)
            if len(self.of(Topology)) == 1 and isinstance(event, Topology):
                raise ValueError("once")
            return []

    async def test() -> None:
        async with world() as w:
            s = Faulty()
            w.node.module = s  # type: ignore[assignment]
            await soon(w.agent.asked.get())
            drain = listing(2, host("s-1", w.backend.port, "terminating"), whole=False)
            w.agent.tell(drain)
            w.agent.first = drain
            assert b"index=1 " in await soon(w.agent.asked.get())
            await until(lambda: len(s.of(Topology)) == 2)
            assert [event.version for event in s.of(Topology)] == [2, 2]

    run(test)


@pytest.mark.parametrize("allowed", [True, False])
def test_probe_is_sent_only_where_allowed(allowed: bool) -> None:
    async def test() -> None:
        async with world(limits__probes=allowed) as w:
            backend = only_backend(w)
            s = script(w, lambda a: [Probe(backend), Send(a.request, backend, 0)])
            client = await w.client()
            client.send(call())
            commands = {}
            for _ in range(1 + allowed):
                connection, words = await w.backend.command()
                commands[words[0]] = connection
            if allowed:
                commands[b"INFO"].send(bulk(b"load_share=0.25,concurrent=4"))
                await until(lambda: bool(s.of(Probed)))
                (probed,) = s.of(Probed)
                assert (probed.outcome, probed.backend, probed.report) == (Outcome.OK, backend, (0.25, 4.0))
            commands[b"CALL.GET"].send(served(b"v"))
            assert await client.next() == b"v"
            assert w.backend.commands.empty() and len(s.of(Probed)) == allowed

    run(test)


def test_reports_reach_the_module_in_the_order_of_the_settings_also_from_error_lines() -> None:
    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            s = script(w, *[lambda a: [Send(a.request, backend, 0)]] * 3)
            client = await w.client()
            reports = {
                b"-ERR failed concurrent=9,load_share=0.5\r\n": (0.5, 9.0),
                b"-BUSY concurrent=1,other=2,load_share=1\r\n": (1.0, 1.0),
                b"-ERR failed concurrent=9\r\n": (),
            }
            for number, line in enumerate(reports):
                client.send(call(number=number))
                connection, _ = await w.backend.command()
                connection.send(line)
                await until(lambda: len(s.of(AttemptEnded)) > number)  # noqa: B023
            assert [event.report for event in s.of(AttemptEnded)] == list(reports.values())
            assert [event.finished for event in s.of(AttemptEnded)] == [False] * 3

    run(test)


def test_cancelled_attempt_closes_its_connection() -> None:
    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            s = script(w, lambda a: [Send(a.request, backend, 0)],
                       lambda a: [Cancel(a.request - 1, 0), Refuse(a.request, 0)])
            client = await w.client()
            client.send(call(number=1) + call(number=2))
            await until(lambda: bool(s.of(AttemptEnded)))
            assert s.of(AttemptEnded)[0].outcome is Outcome.CANCELLED
            assert w.node.backends.open == 0

    run(test)


def test_idle_connections_close_when_the_module_says_so() -> None:
    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            script(w, lambda a: [Send(a.request, backend, 0)],
                   lambda a: [CloseIdle(backend), Refuse(a.request, 0)])
            client = await w.client()
            client.send(call(number=1))
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            assert await client.next() == b"v"
            client.send(call(number=2))
            assert str(await client.next()) == "BUSY"
            await until(lambda: w.backend.ended == 1)

    run(test)


def test_stopping_gateway_closes_a_busy_connection_with_its_answer() -> None:
    """Between two requests of a client in a hurry there is hardly a rest that a look now and then finds."""

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call())
            connection, _ = await w.backend.command()
            w.node.clients.closing = True
            connection.send(served(b"v"))
            assert [await client.next(), await client.next()] == [b"v", None]

    run(test)


def test_clients_beyond_the_bound_make_resting_ones_give_way() -> None:
    async def test() -> None:
        async with world() as w:
            script(w, lambda a: [])
            w.node.clients.bound = 3
            busy = await w.client()
            busy.send(call())
            await until(lambda: busy_requests(w) == 1)
            resting = [await w.client() for _ in range(5)]
            assert [await client.next() for client in resting[:3]] == [None] * 3
            for client in resting[3:]:
                client.send(b"*1\r\n$4\r\nPING\r\n")
                assert await client.next() == b"PONG"
            assert w.node.clients.count() == 3 and busy_requests(w) == 1

    run(test)


def busy_requests(w: World) -> int:
    return len(w.node.module.events)  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("words", "reason"),
    [
        ((b"CALL.GET", CUSTOMER, b"1"), "wrong number of arguments"),
        ((b"CALL.GET", b"zz", b"1", b"c=look up,t=team,d=5"), "bad customer"),
        ((b"CALL.GET", b"0000000200000000", b"1", b"c=look up,t=team,d=5"), "bad customer"),
        ((b"CALL.GET", CUSTOMER, b"", b"c=look up,t=team,d=5"), "bad request id"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=none,t=team,d=5"), "unknown class"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=none,d=5"), "unknown plan"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=charge,t=team,d=5"), "the class is not served by this command"),
        ((b"CALL.POST", CUSTOMER, b"1", b"c=submit,t=team,d=5"), "k missing"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team"), "d missing"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=-5"), "bad or missing d"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,d=6"), "a name stands twice"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,units=nan,spread=1,first=0"), "bad units"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=9,first=0"), "bad or missing spread"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=1,first=2"), "bad or missing first"),
        *[((b"CALL.GET", customer, b"1", b"c=look up,t=team,d=5"), "bad customer") for customer in (
            b"0x000000b4d65521", b"+0000000b4d65521", b"00000000b4d6_521", b" 0000000b4d65521", b"b4d65521")],
        *[((b"CALL.GET", CUSTOMER, id_, b"c=look up,t=team,d=5"), "bad request id") for id_ in (
            b"a b", b"\xff", b"c=look", b"x" * 65)],
        *[((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=1,first=0,units=" + units),
           "bad units")
          for units in (b"", b"0", b"-1", b"+1", b"1_0", b" 1", b"1e0", b"inf", b"2", b"9" * 11, b"0x1")],
        *[((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,units=1,spread=1,first=0,d=" + d),
           "bad or missing d")
          for d in (b"", b"1.5", b"+5", b"5_0", b"soon", b"99999999999999", "\u0665".encode())],
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,odd"), "name=value"),
        ((b"CALL.GET", CUSTOMER, b"1", b""), "name=value"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5", b"BODY"), "takes no value"),
        ((b"CALL.POST", CUSTOMER, b"1", b"c=submit,t=team,d=5,k=a b"), "k missing"),
        ((b"FLUSHALL",), "unknown command"),
    ],
)
def test_bad_command_gets_a_plain_reason_and_the_connection_stays(
    words: tuple[bytes, ...], reason: str
) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(hiredis.pack_command(words))  # type: ignore[arg-type]
            answer = await client.next()
            assert isinstance(answer, hiredis.ReplyError) and reason in str(answer)
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next() == b"PONG"

    run(test)


@pytest.mark.parametrize("behind", [b"", call()])
@pytest.mark.parametrize(
    "data",
    [b"GET / HTTP/1.1\r\n\r\n", b"*1\r\n:5\r\n", b"*x\r\n", b"$4\r\nPING\r\n", b"*1000000\r\n", b"*-1\r\n",
     b"*0\r\n", b"*" + b"1" * 4096, b"x" * 4096, b"*1\r\n$-1\r\n", b"*1\r\n$3\r\nPING\r\n", b"*+1\r\n",
     b"*1\r\n$-9223372036854775808\r\n", b"*1\r\n*1\r\n", b"*1\r\n_\r\n", b"PING\r\n",
     b"*2\r\n$65536\r\n" + b"x" * 65536 + b"\r\n$65536\r\n",
     b"*2\r\n$4\r\nPING\r\n$60000000\r\n" + b"x" * 300_000],
)
def test_broken_resp_is_told_and_closes_the_connection_and_no_other(data: bytes, behind: bytes) -> None:
    async def test() -> None:
        async with world() as w:
            script(w, lambda a: [Refuse(a.request, 0)])
            other, client = await w.client(), await w.client()
            # Behind another command, and with its header in two pieces.
            client.send(behind + data[:2])
            await asyncio.sleep(0)
            client.send(data[2:])
            if behind:
                assert str(await client.next()) == "BUSY"
            assert str(await client.next()).startswith("ERR Protocol error")
            assert await client.next() is None
            other.send(b"*1\r\n$4\r\nPING\r\n")
            assert await other.next() == b"PONG"

    run(test)


def test_close_with_bytes_unread_takes_no_answer_along() -> None:
    """Half-close: the client may go on sending for a while, and reads all that it is owed."""

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call() + b"?" + b"x" * 200_000)
            connection, _ = await w.backend.command()
            value = b"v" * 60_000
            connection.send(served(value))
            await until(lambda: w.node.backends.idle() == 1)
            for _ in range(20):
                client.send(b"x" * 10_000)
                await asyncio.sleep(0)
            assert await client.next() == value
            assert str(await client.next()).startswith("ERR Protocol error")
            assert await client.next() is None

    run(test)


@pytest.mark.parametrize(
    "said", [b"", b"*", b"*4\r\n$8\r\nCALL.GET\r\n", b"*1\r\n$60000\r\n" + b"x" * 59_000]
)
def test_client_that_says_nothing_or_half_a_command_is_closed(
    said: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert DEFAULTS.clients.mute_s + clients.LOOK < 3.0
    quick = Operator(clients=ClientBounds(mute_s=0.02))
    monkeypatch.setattr(clients, "LOOK", 0.01)

    async def test() -> None:
        async with world(quick) as w:
            client = await w.client()
            client.send(said)
            if said:
                assert "without end" in str(await client.next())
            assert await client.next() is None
            await until(lambda: w.node.clients.count() == 0)

    run(test)


def test_client_that_does_not_read_is_closed_and_its_commands_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    assert DEFAULTS.clients.unread_s + clients.LOOK < 3.0
    quick = Operator(clients=ClientBounds(unread_s=0.05))
    monkeypatch.setattr(clients, "LOOK", 0.01)

    async def test() -> None:
        async with world(quick) as w:
            backend, most = only_backend(w), 600  # some 40 MB of answers, far over the sockets' buffers
            s = script(w, *[lambda a: [Send(a.request, backend, 0)]] * most)

            async def answer() -> None:
                while True:
                    connection, _ = await w.backend.commands.get()
                    connection.send(served(b"v" * 65_000))

            answering = asyncio.create_task(answer())
            client = await w.client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(b"".join(call(number=number) for number in range(most)))
            await until(lambda: bool(s.of(Arrival)) and w.node.clients.count() == 0)
            answering.cancel()
            assert len(s.of(Arrival)) < most
            assert w.node.clients.held == 0

    run(test)


def test_commands_beyond_the_pipeline_wait_unread_and_are_all_answered_in_order() -> None:
    async def test() -> None:
        async with world() as w:
            number = 3 * DEFAULTS.clients.pipeline
            arrived: list[int] = []

            def hold(a: Arrival) -> list[Action]:
                arrived.append(a.request)
                return []

            script(w, *[hold] * number)
            client = await w.client()
            client.send(b"".join(call(number=n) for n in range(number)))
            await until(lambda: len(arrived) == DEFAULTS.clients.pipeline)
            client.send(b"*1\r\n$4\r\nPING\r\n")
            while len(arrived) < number:
                assert len(w.node.requests) <= DEFAULTS.clients.pipeline
                before = len(arrived)
                w.node.act(Refuse(arrived[before - 1], 7 * MS))  # out of order: the last of them first
                for request in arrived[before - DEFAULTS.clients.pipeline:before - 1]:
                    w.node.act(Refuse(request, 7 * MS))
                await until(lambda before=before: len(arrived) > before)  # type: ignore[misc]
            for request in arrived[-DEFAULTS.clients.pipeline:]:
                w.node.act(Refuse(request, 7 * MS))
            assert {str(await client.next()) for _ in range(number)} == {"BUSY 7"}
            assert await client.next() == b"PONG"
            assert w.node.clients.held == 0

    run(test)


def test_commands_that_wait_unread_are_bounded_over_all_clients() -> None:
    async def test() -> None:
        async with world() as w:
            w.node.clients.memory = 10_000
            script(w, *[lambda a: []] * DEFAULTS.clients.pipeline)
            client = await w.client()
            client.send(b"".join(call(number=n, wait_ms=60) for n in range(300)))
            answers = [str(await client.next()) for _ in range(DEFAULTS.clients.pipeline)]
            assert set(answers) == {"ERR out of time"}
            assert "too many" in str(await client.next())
            assert await client.next() is None and w.node.clients.held == 0

    run(test)


def test_id_of_an_open_request_is_not_taken_again() -> None:
    async def test() -> None:
        async with world() as w:
            script(w, *[lambda a: []] * 3)
            client, other = await w.client(), await w.client()
            client.send(call(number=5))
            await until(lambda: busy_requests(w) == 1)
            other.send(call(number=5))
            assert "open" in str(await other.next())
            assert busy_requests(w) == 1
            client.abort()
            await until(lambda: busy_requests(w) == 2)  # told that the client has left
            other.send(call(number=5, wait_ms=60))
            assert str(await other.next()) == "ERR out of time"
            other.send(call(number=5, wait_ms=60))
            assert str(await other.next()) == "ERR out of time"

    run(test)


def test_resting_clients_are_closed_early_only_where_connections_are_few(
    monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(one_client, "IDLE_CROWDED", 0.0)

    async def test() -> None:
        async with world() as w:
            made = [await w.client() for _ in range(4)]
            for client in made:
                client.send(b"*1\r\n$4\r\nPING\r\n")
                assert await client.next() == b"PONG"
            w.node.clients.bound = 6
            w.node.clients._look()
            await asyncio.sleep(0)
            assert w.node.clients.count() == 4
            w.node.clients.bound = 5
            w.node.clients._look()
            await until(lambda: w.node.clients.count() == 0)

    run(test)


def test_newcomer_is_closed_where_no_connection_rests() -> None:
    async def test() -> None:
        async with world() as w:
            w.node.clients.bound = 2
            script(w, *[lambda a: []] * 2)
            busy = [await w.client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(call(number=number))
            await until(lambda: busy_requests(w) == 2)
            assert await (await w.client()).next() is None
            assert w.node.clients.count() == 2

    run(test)


def test_broken_resp_behind_a_request_does_not_lose_it() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call() + b"?\r\n")
            connection, _ = await w.backend.command()
            connection.send(served(b"v"))
            assert await client.next() == b"v"
            assert str(await client.next()).startswith("ERR Protocol error")
            assert await client.next() is None

    run(test)


def test_command_in_pieces_is_read_whole() -> None:
    async def test() -> None:
        async with world() as w:
            script(w, lambda a: [Refuse(a.request, 0)])
            client = await w.client()
            data = call("charge", body=b"y" * 2000)
            for at in range(0, len(data), 700):
                client.send(data[at:at + 700])
                await soon(client.writer.drain())
                await asyncio.sleep(0)
            assert str(await client.next()) == "BUSY"

    run(test)
