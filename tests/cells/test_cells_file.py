"""Tests cells in the operator's file, and the commands that read it."""

from __future__ import annotations

from pathlib import Path

import pytest

from trackspread.cli import main
from trackspread.config.addresses import ConfigError
from trackspread.config.operator import Fleet, parse
from trackspread.node.cell_part import CellPart, control_machines
from trackspread.node.control_machine import make_host

GATEWAY = '[fleet]\nname = "f"\nlisten = "127.0.0.1:7400"\n'
IN_ZONE = GATEWAY + 'region = "r"\nzone = "z"\n'


def control(number: int, port: int | None = None, region: str = "r", zone: str = "z") -> str:
    """Returns the table of one control machine; its port is its number unless given."""
    return (
        f'[[fleet.control]]\nname = "c{number}"\nregion = "{region}"\nzone = "{zone}"\n'
        f'address = "127.0.0.1:{number if port is None else port}"\n'
    )


def fleet(text: str) -> Fleet:
    """Returns the fleet's settings in this operator's file."""
    return parse(text, "f").fleet


@pytest.mark.parametrize(
    "text, expected",
    [
        ('[fleet]\nregion = "r"', "fleet.name: must be a name when fleet.region is set, got nothing"),
        (f"[fleet]\n{control(1)}", "fleet.name: must be a name when fleet.control is set, got nothing"),
        (
            IN_ZONE,
            "fleet.control: must name control machines when fleet.region or fleet.zone is set, got nothing",
        ),
        (
            IN_ZONE.replace('listen = "127.0.0.1:7400"', "") + control(1),
            "fleet.listen: must be host:port when fleet.name is set, got nothing",
        ),
        (
            f'{IN_ZONE}seeds = ["127.0.0.1:1"]\n{control(1)}',
            "fleet.seeds: must be empty when fleet.control is set, because the control machines are the "
            "cells' seeds, got 1",
        ),
        (
            IN_ZONE + control(1) + control(1, 2),
            "fleet.control[1].name: must differ between control machines, got 'c1' twice",
        ),
        (
            IN_ZONE + control(1) + control(2, 1),
            "fleet.control[1].address: must differ between control machines, got '127.0.0.1:1' twice",
        ),
        (IN_ZONE + control(1, 0), "fleet.control[0].address: must have a port from 1 to 65535, got port 0"),
        (
            IN_ZONE + control(1).replace("127.0.0.1", "0.0.0.0"),
            "must be an address that others can reach, got '0.0.0.0:1'",
        ),
        (
            IN_ZONE + control(1).replace("127.0.0.1", "control"),
            "must be an IP address and a port, such as 127.0.0.1:7500",
        ),
        (
            IN_ZONE + control(1, region=""),
            "fleet.control[0].region: must be the region of the control machine, got nothing",
        ),
        (
            IN_ZONE + control(1, region="s"),
            "fleet.region: must be a region with control machines (s), got 'r'",
        ),
        (
            IN_ZONE.replace('zone = "z"\n', "") + control(1),
            "fleet.zone: must be the zone of this gateway, got nothing",
        ),
        (
            IN_ZONE + control(1, zone="z z"),
            "fleet.control[0].zone: must be str matching regex '^[A-Za-z0-9_-]{0,24}$', got 'z z'",
        ),
        (f"{IN_ZONE}gateways = 1\n{control(1)}", "fleet.gateways: must be int >= 2, got 1"),
    ],
)
def test_invalid_table_gives_a_one_line_error(text: str, expected: str) -> None:
    with pytest.raises(ConfigError, match=r"^f: ") as raised:
        parse(text, "f")
    assert expected in str(raised.value) and "\n" not in str(raised.value)


def test_one_file_serves_gateways_and_control_machines() -> None:
    both = fleet(IN_ZONE + control(1) + control(2))
    assert [machine.name for machine in control_machines(both)] == ["c1", "c2"]
    host = make_host("c2", both)
    assert host.core.member_id[0] == "c2"
    assert CellPart("g", both, lambda: 0).report() is None


def test_names_that_contradict_the_file_give_one_line_errors() -> None:
    with pytest.raises(
        ConfigError, match=r"NAME: must be a control machine in fleet.control \(c1, c2\), got 'c9'$"
    ):
        make_host("c9", fleet(IN_ZONE + control(1) + control(2)))
    with pytest.raises(ConfigError, match=r"name: must differ from every name in fleet.control, got 'c1'"):
        CellPart("c1", fleet(IN_ZONE + control(1)), lambda: 0)
    with pytest.raises(
        ConfigError,
        match=r"fleet.region: must be this gateway's region when fleet.control is set, got nothing",
    ):
        CellPart("g", fleet(GATEWAY + control(1)), lambda: 0)


def test_commands_report_errors_in_the_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "own.toml"
    file.write_text(IN_ZONE + control(9))
    assert main(["control", "c1", "--file", str(file)]) == 2
    assert "NAME: must be a control machine in fleet.control (c9), got 'c1'" in capsys.readouterr().err
    assert main(["fleet", "cells", "--file", str(file)]) == 2
    assert "fleet.control: no leader answered" in capsys.readouterr().err
    assert main(["fleet", "forget", "g", "--file", str(file)]) == 2
    assert "fleet.control: must be empty, as of a fleet without cells" in capsys.readouterr().err
    file.write_text("")
    assert main(["fleet", "cells", "--file", str(file)]) == 2
    assert (
        "fleet.control: must name the control machines of a fleet with cells, got nothing"
        in capsys.readouterr().err
    )
    assert main(["check", str(file)]) == 0
