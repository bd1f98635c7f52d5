"""Which backends of the list serve the services that this gateway carries."""

from __future__ import annotations

from collections.abc import Callable, Sequence

DEFAULT = 0  # the index of the default service


def _none(number: int) -> bool:
    return False


class CarriedServices:
    """Indices of the carried services by name; without names every backend is of the default one."""

    def __init__(self, names: Sequence[str] = (), listed: Callable[[int], bool] = _none) -> None:
        """`listed`: whether a backend was told as one of a carried service, and not as gone since."""
        self._indices = {name: number for number, name in enumerate(names)}
        self.listed = listed

    def index(self, service: object) -> int | None:
        """None: not carried here. Raises `TypeError` where the list names it by something else than text."""
        if not self._indices:
            return DEFAULT
        if not isinstance(service, str):
            raise TypeError(f"service is {type(service).__name__}, wanted a name")
        return self._indices.get(service)


ALL_ALIKE = CarriedServices()
