"""Defines the tables for usage records, the plan registry and the shared counter."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from .addresses import ConfigError
from .table import Seconds, Table, check_once_each, literal_address

BILLING_SCHEMES = ("http", "https", "file")
MIN_SEGMENTS_ON_DISK = 4


class Use(Table, frozen=True):
    """Configures usage records and their export.

    They are disabled without a folder, because the platform has no durable disk.
    """

    folder: str = ""  # of the usage records of this gateway alone; usage is not recorded if empty
    billing: str = ""  # http://, https:// or file:// URL of billing; records are not sent if empty
    secret: str = ""  # file with the key that signs batches (HMAC-SHA-256); batches are unsigned if empty
    ca: str = ""  # file with the certificates that verify billing's; those of the system if empty
    commit_ms: Annotated[float, msgspec.Meta(ge=1.0, le=1000.0)] = 200.0  # interval between two commits
    batch_s: Seconds = 10.0  # time after which a batch that is not full is sent
    segment_mb: Annotated[float, msgspec.Meta(ge=0.05, le=64.0)] = 4.0  # size of one segment file
    disk_mb: Annotated[float, msgspec.Meta(ge=1.0, le=65536.0)] = 256.0  # limit on all files together
    when_full: Literal["fold", "drop"] = "fold"  # whether sums stay in memory or old records are dropped


class PlanSource(Table, frozen=True):
    """Names the source of plan limits that replace the platform's."""

    book: str = ""  # file of the plan registry that `trackspread plans apply` writes; empty for none


class Counter(Table, frozen=True):
    """Configures the shared counter, on which gateways claim shares of each tenant's limits."""

    servers: tuple[str, ...] = ()  # host:port of each; gateways gossip instead of using a counter if empty
    cluster: bool = False  # whether the servers form a cluster or are independent of one another
    partitions: Annotated[int, msgspec.Meta(ge=1, le=256)] = 8  # of the tenants, as many at all gateways
    prefix: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,32}$")] = "ts"  # prefix of all keys
    user: str = ""  # name in the counter's access list; its default user if empty
    password: str = ""  # file with the password, read for each new connection; empty for none
    tls: bool = False
    ca: str = ""  # file with the certificates that verify a server's; those of the system if empty
    certificate: str = ""  # file with this gateway's certificate and key; empty for none
    status: str = ""  # Unix socket that answers `trackspread quota`; empty for none


def check_usage(use: Use, file_name: str) -> None:
    """Raises `ConfigError` if keys of `use` contradict one another."""
    if use.billing and not use.folder:
        raise ConfigError(f"{file_name}: use.folder: must be a folder when use.billing is set, got nothing")
    if use.folder and use.disk_mb < MIN_SEGMENTS_ON_DISK * use.segment_mb:
        raise ConfigError(
            f"{file_name}: use.disk_mb: must be at least {MIN_SEGMENTS_ON_DISK} times use.segment_mb, "
            f"got {use.disk_mb:g}"
        )
    scheme, separator, _ = use.billing.partition("://")
    if use.billing and (scheme not in BILLING_SCHEMES or not separator):
        raise ConfigError(
            f"{file_name}: use.billing: must be http://HOST:PORT/PATH, https://HOST:PORT/PATH or "
            f"file:///FOLDER, got {use.billing!r}"
        )


def check_counter(counter: Counter, file_name: str) -> None:
    """Raises `ConfigError` if a server is invalid or keys of `counter` contradict one another."""
    for number, server in enumerate(counter.servers):
        literal_address(file_name, f"counter.servers[{number}]", server, "127.0.0.1:6379")
    check_once_each(file_name, "counter.servers", counter.servers)
    for key in ("ca", "certificate"):
        if getattr(counter, key) and not counter.tls:
            raise ConfigError(
                f"{file_name}: counter.{key}: must be empty if counter.tls is false, got a file"
            )
    if counter.user and not counter.password:
        raise ConfigError(
            f"{file_name}: counter.password: must be a file if counter.user is set, got nothing"
        )
