"""`trackspread quota`: what one gateway has of a tenant's limits, from the gateway's status socket.

An error of the operator is one line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import socket

import msgspec

from ..config.addresses import ConfigError
from ..counter.report import TenantReport

TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = 1 << 20  # claims of some thousand gateways
RECEIVE_BYTES = 65_536
TENANT_MASK = (1 << 64) - 1


def run(options: argparse.Namespace) -> int:
    """Prints the gateway's report and returns the exit status; raises `ConfigError`."""
    try:
        tenant = int(options.member, 16)
    except ValueError:
        raise ConfigError(f"MEMBER: found {options.member!r}, wanted 16 hexadecimal digits") from None
    answer = ask(options.socket, tenant)
    if options.json:
        print(answer.decode().rstrip())
        return 0
    try:
        report = msgspec.json.decode(answer, type=TenantReport)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{options.socket}: not a gateway's answer: {error}") from None
    print("\n".join(lines(report)))
    return 0


def ask(path: str, tenant: int) -> bytes:
    """Returns the gateway's report on a tenant, a line of JSON; raises `ConfigError`."""
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
            f"{path}: {error.strerror or error}; wanted the socket that counter.status names, "
            "of a gateway that runs"
        ) from None
    return answer


def lines(report: TenantReport) -> list[str]:
    """Returns a report as lines for operators."""
    replaced = f"; found replaced {report.replacements} time(s)" if report.replacements else ""
    text = [
        f"member {report.tenant}, partition {report.partition}",
        f"  source of truth   {report.source} (state: {report.state}{replaced})",
    ]
    if not report.plan:
        return [*text, "  no request of this member came here of late: nothing is held"]
    text += [
        f"  plan              {report.plan}",
        f"  quota here        {report.tokens:.2f} of {report.burst:.2f} units, {report.rate:.2f} a second "
        f"({report.quota_share:.1%} of the whole)",
    ]
    if report.hard_limit_burst:
        text.append(
            f"  ceiling here      {report.hard_limit_tokens:.2f} of {report.hard_limit_burst:.2f} units "
            f"({report.hard_limit_share:.1%} of the whole)"
        )
    if report.concurrency_limit:
        text.append(f"  open attempts     {report.in_flight} of {report.concurrency_limit}")
    text += [
        f"  in flight         {report.in_flight}, of a cap of {report.cap}",
        f"  claimed, proven   {report.claimed_share:.1%}, {report.proven_share:.1%}; "
        f"its even slice is {report.static_share:.1%}",
        f"  asked for here    {report.demand_per_s:.2f} units a second",
        f"  last refused for  {report.rejection_reason or 'none was refused'}",
    ]
    for other in report.others:
        seen = f"seen alive {other.seen_s:.1f} s ago" if other.seen_s >= 0 else "never seen alive"
        text.append(
            f"  gateway {other.gateway:<9} claims {other.share:.1%}, asked for {other.demand_per_s:.2f} a "
            f"second, {seen}"
        )
    return text
