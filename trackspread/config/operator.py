"""The operator's own file: what this project adds to the platform's configuration, as a checked schema.

Without the file, or with an empty one, every value is its default and the program is what the platform's
pages describe. A mistake is one line: file, key, what was found and what is wanted. Only `load` does I/O.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from .addresses import Address, ConfigError, address

Seconds = Annotated[float, msgspec.Meta(ge=0.05, le=3600.0)]
Part = Annotated[float, msgspec.Meta(ge=0.05, le=0.95)]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file; a key that it does not know is an error."""


class Listener(_Table, frozen=True):
    """One more address on which clients are served."""

    address: str
    protocol: Literal["resp"] = "resp"


class List(_Table, frozen=True):
    """Where the list of backends comes from."""

    source: Literal["agent"] = "agent"  # the platform's agent, at the address that the platform gives


class ClientBounds(_Table, frozen=True):
    """What a client's connection is granted."""

    pipeline: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 32  # calls without an answer; more waits unread
    idle_s: Seconds = 25.0  # at rest after a call: under the usual half minute, and calm clients come sooner
    mute_s: Seconds = 2.6  # without a whole call from connecting on, or from the first byte of one on
    unread_s: Seconds = 2.0  # in which a client takes nothing of what waits for it


class BackendBounds(_Table, frozen=True):
    """What the pools to backends are granted."""

    descriptor_part: Part = 0.5  # of the descriptors; each request needs one on either side at most
    grace_part: Part = 0.8  # of the drain's grace in which a late connection is still written to


class Use(_Table, frozen=True):
    """Use records and their export; off without a folder, as the platform gives no lasting disk."""

    folder: str = ""  # where records are kept, this gateway's alone; empty: use is not recorded
    billing: str = ""  # http://, https:// or file:// of the receiver; empty: records are kept and not sent
    secret: str = ""  # file with the key that signs batches (HMAC-SHA-256); empty: not signed
    ca: str = ""  # file with the certificates that the receiver's is checked against; empty: the system's
    commit_ms: Annotated[float, msgspec.Meta(ge=1.0, le=1000.0)] = 200.0  # until a commit
    batch_s: Seconds = 10.0  # for which a batch that is not full is waited for
    segment_mb: Annotated[float, msgspec.Meta(ge=0.05, le=64.0)] = 4.0  # of one file, allocated ahead
    disk_mb: Annotated[float, msgspec.Meta(ge=1.0, le=65536.0)] = 256.0  # of all of them, at most
    when_full: Literal["fold", "drop"] = "fold"  # keep sums in memory, or give up the oldest records


class PlanSource(_Table, frozen=True):
    """Where other figures for the platform's plans come from."""

    book: str = ""  # a plan registry, as `trackspread plans apply` writes it; "": the platform's figures hold


class Counter(_Table, frozen=True):
    """A counter that all gateways share: it says how much of each member's limits is kept here."""

    servers: tuple[str, ...] = ()  # host:port; empty: no counter, gateways tell one another
    cluster: bool = False  # whether they are a cluster, of which any may be named, or plain ones side by side
    partitions: Annotated[int, msgspec.Meta(ge=1, le=256)] = 8  # members are spread over; the same everywhere
    prefix: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,32}$")] = "ts"  # of all names
    user: str = ""  # of the counter's access list; empty: its default one
    password: str = ""  # file with the password, read anew for each connection; empty: none
    tls: bool = False
    ca: str = ""  # file with the certificates that a server's is checked against; empty: the system's
    certificate: str = ""  # file with this gateway's own certificate and key; empty: none is shown
    status: str = ""  # a Unix socket that answers `trackspread quota`; empty: none


Label = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{0,24}$")]  # a region's or a zone's name


class ControlAddress(_Table, frozen=True):
    """One control machine, as all processes of the fleet name it."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    region: Label
    zone: Label
    address: str  # host:port by which gateways and the others reach it


class Fleet(_Table, frozen=True):
    """The view that gateways keep of their own fleet; off without a name, as the platform gives no address
    for it. With control machines it is a cell's: gateways of one zone, and these as its seeds."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{0,64}$")] = ""  # the fleet's own; "": no view
    listen: str = ""  # host:port for datagrams and connections alike; a control machine's: "": its address
    advertise: str = ""  # host:port by which others reach it; "": listen
    seeds: tuple[str, ...] = ()  # host:port of some members, the same in the same order everywhere
    region: Label = ""  # where this gateway runs; with control machines only
    zone: Label = ""
    control: tuple[ControlAddress, ...] = ()  # all, the same in the same order everywhere; none: no cells
    gateways: Annotated[int, msgspec.Meta(ge=2, le=65_536)] = 8_192  # in all cells, at most
    key: str = ""  # file with the key that members sign with; "": digests are not keyed
    previous: str = ""  # file with the key before that, which still counts
    period_ms: Annotated[float, msgspec.Meta(ge=50.0, le=10_000.0)] = 300.0  # between probes of members
    most: Annotated[int, msgspec.Meta(ge=2, le=4096)] = 64  # members at most
    keep_s: Annotated[float, msgspec.Meta(ge=2.0, le=3600.0)] = 30.0  # that a silent gateway keeps its part
    record: str = ""  # file to which each thing that came to be is appended; "": none

    def seed_addresses(self) -> tuple[Address, ...]:
        return tuple(address(each, "fleet.seeds") for each in self.seeds)


class Configuration(_Table, frozen=True):
    """Configuration that control replicas hand down; off without replicas. The fleet's name and keys are used
    for it."""

    replicas: tuple[str, ...] = ()  # host:port of all replicas, the same in the same order everywhere
    listen: str = ""  # host:port of this gateway, from which it asks them
    near: tuple[str, ...] = ()  # those that are asked first; empty: those of its region, where that is told
    services: tuple[str, ...] = ()  # whose configuration is wanted here; empty: all
    record: str = ""  # file to which each version that came to be in force is appended; "": none

    def addresses(self) -> tuple[Address, ...]:
        return tuple(address(each, "configuration.replicas") for each in self.replicas)


class Services(_Table, frozen=True):
    """Several services behind one gateway, each with its own backends; off without classes. What belongs to
    none of them is of the default service: it has an empty name, and every gateway carries it."""

    classes: dict[str, tuple[str, ...]] = {}  # by service: its classes, by their name in the settings
    carries: tuple[str, ...] = ()  # services whose requests this gateway takes; empty: all that are named

    def carried(self) -> tuple[str, ...]:
        """The default service first, then the others in the order of the file."""
        return ("", *(self.carries or self.classes)) if self.classes else ()

    def service_of(self, cls: str) -> str:
        return next((name for name, classes in self.classes.items() if cls in classes), "")


class Log(_Table, frozen=True):
    """The log, on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    tally_s: Seconds = 10.0  # between lines on how attempts ended


class Operator(_Table, frozen=True):
    """The whole file."""

    role: Literal["gateway"] = "gateway"
    listeners: tuple[Listener, ...] = ()
    list: List = List()
    clients: ClientBounds = ClientBounds()
    backends: BackendBounds = BackendBounds()
    use: Use = Use()
    plans: PlanSource = PlanSource()
    counter: Counter = Counter()
    fleet: Fleet = Fleet()
    configuration: Configuration = Configuration()
    services: Services = Services()
    log: Log = Log()

    def addresses(self) -> tuple[Address, ...]:
        return tuple(address(each.address, "listeners.address") for each in self.listeners)


DEFAULTS = Operator()
LIVE = frozenset({"clients", "log"})  # taken up by a running gateway; the rest needs a restart


def needs_restart(old: Operator, new: Operator) -> list[str]:
    """Tables that a running gateway does not take up."""
    return [
        name
        for name in Operator.__struct_fields__
        if name not in LIVE and getattr(old, name) != getattr(new, name)
    ]


def load(path: Path) -> Operator:
    """The file's values; raises `ConfigError` with one line."""
    try:
        text = path.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {_plain(error)}") from None
    return parse(text, str(path))


def parse(text: str, name: str) -> Operator:
    """As `load`, from the file's text; `name` stands for it in errors."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{name}: not TOML: {error}") from None
    try:
        made = msgspec.convert(raw, Operator, strict=True)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{name}: {_explain(str(error), raw)}") from None
    _check_use(made.use, name)
    _check_counter(made.counter, name)
    _check_fleet(made.fleet, name)
    _check_configuration(made, name)
    _check_services(made.services, name)
    seen: set[Address] = set()
    for number, listener in enumerate(made.listeners):
        key = f"listeners[{number}].address"
        try:
            each = address(listener.address, key)
        except ConfigError:
            raise ConfigError(f"{name}: {key}: found {listener.address!r}, wanted host:port") from None
        if each in seen:
            raise ConfigError(f"{name}: {key}: found {listener.address!r} twice, wanted once each")
        seen.add(each)
    return made


def _check_use(use: Use, name: str) -> None:
    if use.billing and not use.folder:
        raise ConfigError(f"{name}: use.folder: found nothing, wanted a folder: use.billing is set")
    if use.folder and use.disk_mb < 4 * use.segment_mb:
        raise ConfigError(f"{name}: use.disk_mb: found {use.disk_mb:g}, wanted 4 times segment_mb or more")
    scheme = use.billing.partition("://")[0]
    if use.billing and (scheme not in ("http", "https", "file") or "://" not in use.billing):
        raise ConfigError(
            f"{name}: use.billing: found {use.billing!r}, wanted http://HOST:PORT/PATH, "
            "https://HOST:PORT/PATH or file:///FOLDER"
        )


def _literal(name: str, key: str, text: str, example: str) -> Address:
    """Raises `ConfigError` unless it is an address and a port."""
    try:
        host, port = address(text, key)
        ip_address(host)
    except ValueError:
        raise ConfigError(
            f"{name}: {key}: found {text!r}, wanted an address and a port, as {example}: names "
            "are not looked up"
        ) from None
    if not port:
        raise ConfigError(f"{name}: {key}: found port 0, wanted 1 to 65535")
    return host, port


def _check_counter(counter: Counter, name: str) -> None:
    for number, server in enumerate(counter.servers):
        _literal(name, f"counter.servers[{number}]", server, "127.0.0.1:6379")
    if len(set(counter.servers)) < len(counter.servers):
        raise ConfigError(f"{name}: counter.servers: found one twice, wanted once each")
    for key in ("ca", "certificate"):
        if getattr(counter, key) and not counter.tls:
            raise ConfigError(f"{name}: counter.{key}: found a file, wanted none or counter.tls = true")
    if counter.user and not counter.password:
        raise ConfigError(f"{name}: counter.password: found nothing, wanted a file: counter.user is set")


SEEDS_MOST = 9  # an election among more has more to wait for than it gains


def _check_fleet(fleet: Fleet, name: str) -> None:
    if not fleet.name:
        for key in ("listen", "advertise", "seeds", "region", "zone", "control", "key", "previous", "record"):
            if getattr(fleet, key):
                raise ConfigError(f"{name}: fleet.name: found nothing, wanted a name: fleet.{key} is set")
        return
    if not fleet.listen and (fleet.region or not fleet.control):
        raise ConfigError(f"{name}: fleet.listen: found nothing, wanted host:port: fleet.name is set")
    if fleet.control:
        _check_control(fleet, name)
    elif fleet.region or fleet.zone:
        raise ConfigError(
            f"{name}: fleet.control: found nothing, wanted control machines: fleet.region or "
            "fleet.zone is set"
        )
    elif not 1 <= len(fleet.seeds) <= SEEDS_MOST:
        raise ConfigError(
            f"{name}: fleet.seeds: found {len(fleet.seeds)}, wanted 1 to {SEEDS_MOST} addresses, best 3 or 5"
        )
    keys = [
        *((key, text) for key in ("listen", "advertise") if (text := getattr(fleet, key))),
        *((f"seeds[{number}]", seed) for number, seed in enumerate(fleet.seeds)),
    ]
    for key, text in keys:
        host, _ = _literal(name, f"fleet.{key}", text, "127.0.0.1:7400")
        if ip_address(host).is_unspecified and (key != "listen" or not fleet.advertise):
            raise ConfigError(f"{name}: fleet.{key}: found {text!r}, wanted an address that others can reach")
    if len(set(fleet.seeds)) < len(fleet.seeds):
        raise ConfigError(f"{name}: fleet.seeds: found one twice, wanted once each")
    if fleet.previous and not fleet.key:
        raise ConfigError(f"{name}: fleet.key: found nothing, wanted a file: fleet.previous is set")


def _check_control(fleet: Fleet, name: str) -> None:
    """Raises `ConfigError` unless cells can be made of it."""
    if fleet.seeds:
        raise ConfigError(
            f"{name}: fleet.seeds: found {len(fleet.seeds)}, wanted none: the control machines "
            "are the cells' seeds"
        )
    seen: dict[str, set[str]] = {"name": set(), "address": set()}
    for number, seat in enumerate(fleet.control):
        key = f"fleet.control[{number}]"
        for each in ("region", "zone"):
            if not getattr(seat, each):
                raise ConfigError(f"{name}: {key}.{each}: found nothing, wanted the {each} that it is in")
        host, _ = _literal(name, f"{key}.address", seat.address, "127.0.0.1:7500")
        if ip_address(host).is_unspecified:
            raise ConfigError(
                f"{name}: {key}.address: found {seat.address!r}, wanted an address that others can reach"
            )
        for each, values in seen.items():
            if (value := getattr(seat, each)) in values:
                raise ConfigError(f"{name}: {key}.{each}: found {value!r} twice, wanted once each")
            values.add(value)
    if bool(fleet.region) != bool(fleet.zone):
        lacking = "zone" if fleet.region else "region"
        raise ConfigError(
            f"{name}: fleet.{lacking}: found nothing, wanted the {lacking} that this gateway runs in"
        )
    regions = sorted({seat.region for seat in fleet.control})
    if fleet.region and fleet.region not in regions:
        raise ConfigError(
            f"{name}: fleet.region: found {fleet.region!r}, wanted one that has control "
            f"machines: {', '.join(regions)}"
        )


REPLICAS_MOST = 31  # a majority of more is waited for longer than it gains
SERVICES_MOST = 4096  # whose configuration one gateway asks for


def _check_configuration(made: Operator, name: str) -> None:
    table = made.configuration
    if not table.replicas:
        for key in ("listen", "near", "services", "record"):
            if getattr(table, key):
                raise ConfigError(
                    f"{name}: configuration.replicas: found nothing, wanted addresses: "
                    f"configuration.{key} is set"
                )
        return
    if not made.fleet.name:
        raise ConfigError(f"{name}: fleet.name: found nothing, wanted a name: configuration.replicas is set")
    for key, most in (("replicas", REPLICAS_MOST), ("services", SERVICES_MOST)):
        values = getattr(table, key)
        if len(values) > most:
            raise ConfigError(f"{name}: configuration.{key}: found {len(values)}, wanted {most} at most")
        if len(set(values)) < len(values):
            raise ConfigError(f"{name}: configuration.{key}: found one twice, wanted once each")
    texts = [
        *((f"replicas[{number}]", text) for number, text in enumerate(table.replicas)),
        *([("listen", table.listen)] if table.listen else []),
    ]
    for key, text in texts:
        if ip_address(_literal(name, f"configuration.{key}", text, "127.0.0.1:7600")[0]).is_unspecified:
            raise ConfigError(
                f"{name}: configuration.{key}: found {text!r}, wanted an address that others can reach"
            )
    if made.fleet.control and len(table.replicas) != len(made.fleet.control):
        raise ConfigError(
            f"{name}: configuration.replicas: found {len(table.replicas)}, wanted "
            f"{len(made.fleet.control)}: one for each of fleet.control, in its order"
        )
    for number, text in enumerate(table.near):
        if text not in table.replicas:
            raise ConfigError(
                f"{name}: configuration.near[{number}]: found {text!r}, wanted one of configuration.replicas"
            )


CARRIED_MOST = 256  # services at one gateway: each has a table of commitments and a model of its own


def _check_services(services: Services, name: str) -> None:
    owner: dict[str, str] = {}
    for service, classes in services.classes.items():
        key = f"services.classes.{service}"
        if not service:
            raise ConfigError(f"{name}: services.classes: found one without a name, wanted a name")
        if not classes:
            raise ConfigError(f"{name}: {key}: found nothing, wanted classes of request")
        for cls in classes:
            if cls in owner:
                raise ConfigError(
                    f"{name}: {key}: found {cls!r}, which is of {owner[cls]!r}, wanted each "
                    "class in one service"
                )
            owner[cls] = service
    for number, service in enumerate(services.carries):
        if service not in services.classes:
            raise ConfigError(
                f"{name}: services.carries[{number}]: found {service!r}, wanted one of services.classes"
            )
    if len(set(services.carries)) < len(services.carries):
        raise ConfigError(f"{name}: services.carries: found one twice, wanted once each")
    if len(services.carried()) > CARRIED_MOST:
        raise ConfigError(
            f"{name}: services.carries: found {len(services.carried()) - 1} services, wanted "
            f"{CARRIED_MOST - 1} at most"
        )


def _plain(error: Exception) -> str:
    return (error.strerror if isinstance(error, OSError) else None) or "not UTF-8 text"


_AT = re.compile(r"^(?P<what>.*?)(?: - at `\$\.?(?P<path>.*)`)?$")
_UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")
_MISSING = re.compile(r"Object missing required field `(.*)`")
_WRONG = re.compile(r"Expected `(.*)`, got `.*`")
_STEP = re.compile(r"\[(\d+)\]|([^.\[\]]+)")


def _explain(message: str, raw: dict[str, Any]) -> str:
    """msgspec's words as key, what was found and what is wanted."""
    match = _AT.match(message)
    what, path = (match["what"], match["path"] or "") if match else (message, "")
    if unknown := _UNKNOWN.fullmatch(what):
        known = _keys(path)
        near = difflib.get_close_matches(unknown[1], known, 1)
        wanted = f"did you mean {near[0]}?" if near else f"wanted one of {', '.join(known)}"
        return f"{path and path + '.'}{unknown[1]}: found an unknown key, {wanted}"
    if missing := _MISSING.fullmatch(what):
        return f"{path and path + '.'}{missing[1]}: found nothing, wanted a value"
    found = _found(path, raw)
    if what.startswith("Invalid enum value"):
        return f"{path}: found {found!r}, wanted one of {', '.join(map(repr, _choices(path)))}"
    wrong = _WRONG.fullmatch(what)
    wanted = wrong[1] if wrong else what.removeprefix("Expected ").replace("`", "")
    return f"{path}: found {found!r}, wanted {wanted}"


def _found(path: str, raw: Any) -> Any:
    for index, key in _STEP.findall(path):
        raw = raw[int(index)] if index else raw[key]
    return raw


def _field_type(path: str) -> msgspec.inspect.Type:
    kind: msgspec.inspect.Type = msgspec.inspect.type_info(Operator)
    for index, key in _STEP.findall(path):
        if index and isinstance(kind, msgspec.inspect.VarTupleType):
            kind = kind.item_type
        elif isinstance(kind, msgspec.inspect.StructType):
            kind = next(field.type for field in kind.fields if field.encode_name == key)
    return kind


def _keys(path: str) -> list[str]:
    kind = _field_type(path)
    return [f.encode_name for f in kind.fields] if isinstance(kind, msgspec.inspect.StructType) else []


def _choices(path: str) -> tuple[Any, ...]:
    kind = _field_type(path)
    return kind.values if isinstance(kind, msgspec.inspect.LiteralType) else ()
