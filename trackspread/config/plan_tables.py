"""Tables for tenants' plans: usage records, the plan registry and the shared counter."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .addresses import ConfigError
from .table import Seconds, Table, check_once_each, literal_address

BILLING_SCHEMES = ("http", "https", "file")
MIN_SEGMENTS_ON_DISK = 4


class Use(Table, frozen=True):
    """Usage records and their export; disabled without a folder, as the platform has no durable disk."""

    folder: str = ""  # of the records, used by this gateway only; empty: usage is not recorded
    billing: str = ""  # http://, https:// or file:// address of the receiver; empty: records are not sent
    secret: str = ""  # file with the key that signs batches (HMAC-SHA-256); empty: batches are not signed
    ca: str = ""  # file with the certificates that verify the receiver's; empty: those of the system
    commit_ms: Annotated[float, msgspec.Meta(ge=1.0, le=1000.0)] = 200.0  # between two commits
    batch_s: Seconds = 10.0  # after which a batch that is not full is sent
    segment_mb: Annotated[float, msgspec.Meta(ge=0.05, le=64.0)] = 4.0  # size of one segment file
    disk_mb: Annotated[float, msgspec.Meta(ge=1.0, le=65536.0)] = 256.0  # limit on all files together
    when_full: Literal["fold", "drop"] = "fold"  # keep sums in memory, or drop the oldest records


class PlanSource(Table, frozen=True):
    """Where limits other than the platform's come from."""

    book: str = ""  # file of the plan registry, as `trackspread plans apply` writes it; empty: none


class Counter(Table, frozen=True):
    """The shared counter, on which gateways claim shares of each tenant's limits."""

    servers: tuple[str, ...] = ()  # host:port; empty: no counter, gateways gossip instead
    cluster: bool = False  # whether the servers form a cluster, or are independent of one another
    partitions: Annotated[int, msgspec.Meta(ge=1, le=256)] = 8  # of the tenants; the same at all gateways
    prefix: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,32}$")] = "ts"  # of all keys
    user: str = ""  # of the counter's access list; empty: its default user
    password: str = ""  # file with the password, read for each new connection; empty: none
    tls: bool = False
    ca: str = ""  # file with the certificates that verify a server's; empty: those of the system
    certificate: str = ""  # file with this gateway's certificate and key; empty: none
    status: str = ""  # Unix socket that answers `trackspread quota`; empty: none


def check_usage(use: Use, file_name: str) -> None:
    """Raises `ConfigError` for keys of `use` that don't fit one another."""
    if use.billing and not use.folder:
        raise ConfigError(f"{file_name}: use.folder: found nothing, wanted a folder: use.billing is set")
    if use.folder and use.disk_mb < MIN_SEGMENTS_ON_DISK * use.segment_mb:
        raise ConfigError(
            f"{file_name}: use.disk_mb: found {use.disk_mb:g}, wanted {MIN_SEGMENTS_ON_DISK} times "
            "segment_mb or more"
        )
    scheme, separator, _ = use.billing.partition("://")
    if use.billing and (scheme not in BILLING_SCHEMES or not separator):
        raise ConfigError(
            f"{file_name}: use.billing: found {use.billing!r}, wanted http://HOST:PORT/PATH, "
            "https://HOST:PORT/PATH or file:///FOLDER"
        )


def check_counter(counter: Counter, file_name: str) -> None:
    """Raises `ConfigError` for invalid servers, and keys of `counter` that don't fit one another."""
    for number, server in enumerate(counter.servers):
        literal_address(file_name, f"counter.servers[{number}]", server, "127.0.0.1:6379")
    check_once_each(file_name, "counter.servers", counter.servers)
    for key in ("ca", "certificate"):
        if getattr(counter, key) and not counter.tls:
            raise ConfigError(f"{file_name}: counter.{key}: found a file, wanted none or counter.tls = true")
    if counter.user and not counter.password:
        raise ConfigError(f"{file_name}: counter.password: found nothing, wanted a file: counter.user is set")
