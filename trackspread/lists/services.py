"""Maps the services that the endpoint list names to those that this gateway carries."""

from __future__ import annotations

from collections.abc import Callable, Sequence

DEFAULT = 0  # the index of the default service


def _none_listed(backend: int) -> bool:
    return False


class CarriedServices:
    """Holds the carried services' indices by name; without names, all backends serve the default one."""

    def __init__(self, names: Sequence[str] = (), is_listed: Callable[[int], bool] = _none_listed) -> None:
        """Creates the map; `is_listed` tells whether a backend is listed now as one of a carried service."""
        self._indices = {name: index for index, name in enumerate(names)}
        self.is_listed = is_listed

    def index(self, service: object) -> int | None:
        """Returns a service's index, or None if it is not carried; raises `TypeError` if it is no text."""
        if not self._indices:
            return DEFAULT
        if not isinstance(service, str):
            raise TypeError(f"service: must be a string, got {type(service).__name__}")
        return self._indices.get(service)


ALL_SERVICES = CarriedServices()
