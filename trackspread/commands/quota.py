"""Implements `trackspread quota`, which shows one gateway's part of a tenant's limits.

The gateway reports it at its status socket (`counter.status`).

An error of the operator is one line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import socket

import msgspec

from ..config.addresses import ConfigError
from ..counter.report import TenantReport

TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 1 << 20  # enough for the claims of several thousand gateways
RECEIVE_BYTES = 65_536
TENANT_MASK = (1 << 64) - 1


def run(options: argparse.Namespace) -> int:
    """Prints the gateway's report and returns the exit status; raises `ConfigError`."""
    try:
        tenant = int(options.member, 16)
    except ValueError:
        raise ConfigError(f"MEMBER: must be 16 hexadecimal digits, got {options.member!r}") from None
    answer = ask(options.socket, tenant)
    if options.json:
        print(answer.decode().rstrip())
        return 0
    try:
        report = msgspec.json.decode(answer, type=TenantReport)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{options.socket}: must answer with a gateway's report: {error}") from None
    print("\n".join(lines(report)))
    return 0


def ask(path: str, tenant: int) -> bytes:
    """Returns the gateway's report on a tenant as a line of JSON; raises `ConfigError`."""
    answer = b""
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(TIMEOUT_S)
            connection.connect(path)
            connection.sendall(b"%x\n" % (tenant & TENANT_MASK))
            while len(answer) < MAX_ANSWER_BYTES and (data := connection.recv(RECEIVE_BYTES)):
                answer += data
    except OSError as error:
        raise ConfigError(
            f"{path}: must be the socket at counter.status of a running gateway: {error.strerror or error}"
        ) from None
    return answer


def lines(report: TenantReport) -> list[str]:
    """Formats a report as lines for operators."""
    replaced = f"; {report.replacements} replacement(s) detected" if report.replacements else ""
    text = [
        f"tenant {report.tenant}, partition {report.partition}",
        f"  source of truth   {report.source} (state: {report.state}{replaced})",
    ]
    if not report.plan:
        return [*text, "  this gateway holds no state, because the tenant has sent no recent request"]
    text += [
        f"  plan              {report.plan}",
        f"  quota here        {report.tokens:.2f} of {report.burst:.2f} units, {report.rate:.2f} per second "
        f"({report.quota_share:.1%} of the limit)",
    ]
    if report.hard_limit_burst:
        text.append(
            f"  hard limit here   {report.hard_limit_tokens:.2f} of {report.hard_limit_burst:.2f} units "
            f"({report.hard_limit_share:.1%} of the limit)"
        )
    if report.concurrency_limit:
        text.append(f"  concurrency       {report.in_flight} of {report.concurrency_limit} attempts")
    text += [
        f"  in flight         {report.in_flight} of a cap of {report.cap}",
        f"  claimed, proven   {report.claimed_share:.1%}, {report.proven_share:.1%}; "
        f"static share {report.static_share:.1%}",
        f"  demand here       {report.demand_per_s:.2f} units per second",
        f"  last rejection    {report.rejection_reason or 'none'}",
    ]
    for other in report.others:
        heartbeat = f"last heartbeat {other.seen_s:.1f} s ago" if other.seen_s >= 0 else "no heartbeat yet"
        text.append(
            f"  gateway {other.gateway:<9} claims {other.share:.1%}, demand {other.demand_per_s:.2f} per "
            f"second, {heartbeat}"
        )
    return text
