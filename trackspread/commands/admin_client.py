"""Sends requests to the admin servers of gateways (`control` in their configuration)."""

from __future__ import annotations

import http.client
from http import HTTPStatus
from typing import TypeVar

import msgspec

from ..config.addresses import ConfigError, address

TIMEOUT_S = 3.0

Report = TypeVar("Report")


def fetch(admin_address: str, path: str, key: str) -> bytes:
    """Returns the body of a gateway's response; raises `ConfigError`.

    `key` is the key of the operator's file without which a gateway does not serve `path`. The error names it.
    """
    host, port = address(admin_address, "HOST:PORT")
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise ConfigError(
            f"{admin_address}: must be the admin server (control) of a running gateway: {error}"
        ) from None
    finally:
        connection.close()
    if response.status == HTTPStatus.NOT_FOUND:
        raise ConfigError(
            f"{admin_address}: must be a gateway with {key} in its operator's file, got 404 for {path}"
        )
    if response.status != HTTPStatus.OK:
        raise ConfigError(f"{admin_address}: {body.decode(errors='replace').strip()}")
    return body


def decode(admin_address: str, body: bytes, report_type: type[Report]) -> Report:
    """Decodes a report in JSON; raises `ConfigError` if it is invalid."""
    try:
        return msgspec.json.decode(body, type=report_type)
    except msgspec.DecodeError as error:
        raise ConfigError(f"{admin_address}: must answer with a gateway's report: {error}") from None
