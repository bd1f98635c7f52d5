"""`trackspread quota`: what one gateway holds of a member's limits, asked of the gateway itself.

May know: the gateway's status socket. Every operator's error is one plain line (`ConfigError`).
"""

from __future__ import annotations

import argparse
import socket

import msgspec

from ..config.addresses import ConfigError
from ..counter.report import TenantReport

PATIENCE = 3.0  # s for the answer
ANSWER_MOST = 1 << 20  # bytes: a claim of each of some thousand gateways


def run(given: argparse.Namespace) -> int:
    """Exit status; raises `ConfigError`."""
    try:
        member = int(given.member, 16)
    except ValueError:
        raise ConfigError(f"MEMBER: found {given.member!r}, wanted 16 hexadecimal digits") from None
    data = ask(given.socket, member)
    if given.json:
        print(data.decode().rstrip())
        return 0
    try:
        told = msgspec.json.decode(data, type=TenantReport)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{given.socket}: not a gateway's answer: {error}") from None
    print("\n".join(lines(told)))
    return 0


def ask(path: str, member: int) -> bytes:
    """The gateway's answer, one line of JSON."""
    data = b""
    try:
        with socket.socket(socket.AF_UNIX) as line:
            line.settimeout(PATIENCE)
            line.connect(path)
            line.sendall(b"%x\n" % (member & (1 << 64) - 1))
            while len(data) < ANSWER_MOST and (part := line.recv(65_536)):
                data += part
    except OSError as error:
        raise ConfigError(
            f"{path}: {error.strerror or error}; wanted the socket that counter.status names, "
            "of a gateway that runs"
        ) from None
    return data


def lines(told: TenantReport) -> list[str]:
    """For a person."""
    replaced = f"; found replaced {told.replaced} time(s)" if told.replaced else ""
    made = [
        f"member {told.member}, partition {told.partition}",
        f"  source of truth   {told.source} (state: {told.state}{replaced})",
    ]
    if not told.plan:
        return [*made, "  no request of this member came here of late: nothing is held"]
    made += [
        f"  plan              {told.plan}",
        f"  quota here        {told.level:.2f} of {told.burst:.2f} units, {told.rate:.2f} a second "
        f"({told.soft:.1%} of the whole)",
    ]
    if told.ceiling_burst:
        made.append(
            f"  ceiling here      {told.ceiling:.2f} of {told.ceiling_burst:.2f} units "
            f"({told.hard:.1%} of the whole)"
        )
    if told.open_most:
        made.append(f"  open attempts     {told.open} of {told.open_most}")
    made += [
        f"  in flight         {told.open}, of a cap of {told.cap}",
        f"  claimed, proven   {told.claimed:.1%}, {told.proven:.1%}; its even slice is {told.even:.1%}",
        f"  asked for here    {told.want:.2f} units a second",
        f"  last refused for  {told.refused_for or 'none was refused'}",
    ]
    for other in told.others:
        seen = f"seen alive {other.seen_s:.1f} s ago" if other.seen_s >= 0 else "never seen alive"
        made.append(
            f"  gateway {other.gateway:<9} claims {other.share:.1%}, asked for {other.want:.2f} a "
            f"second, {seen}"
        )
    return made
