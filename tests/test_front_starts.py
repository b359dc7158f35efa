"""Starts of a gate and of an xDS controller while their address cannot be had for a moment."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest
from faulty_process import Call, Faults, free_address, names, process
from parties import play
from xds_process import xds_controller

MOMENTS = [
    (Call.SOCKET, errno.ENFILE),
    (Call.SOCKET, errno.ENOBUFS),
    (Call.BIND, errno.EADDRINUSE),
    (Call.BIND, errno.EADDRNOTAVAIL),
]
NAMES = [f"{call.name}-{names(error)}" for call, error in MOMENTS]
GATE_FILE = """
connection_class {{ name: "board" path_prefix: "/board" }}
gate {{ name: "g0" listen: "{}:{}" slices: 2 }}
node {{ id: "n0" address: "127.0.0.1:1" zone: "east" }}
"""


@pytest.mark.parametrize(("call", "error"), MOMENTS, ids=NAMES)
def test_an_xds_controller_waits_for_its_address(tmp_path: Path, call: Call, error: int) -> None:
    """Guards against a start that ends with status 2 where its address is free again a moment later."""

    async def test() -> None:
        faults = Faults(tmp_path / "faults")
        faults.set(call, error, times=5)
        async with xds_controller(tmp_path, faults):
            assert faults.injected(call) == 5

    play(test())


def test_a_gate_waits_for_its_address(tmp_path: Path) -> None:
    """Guards against a start that ends with status 2 where its address is free again a moment later."""

    async def test() -> None:
        for call, error in MOMENTS:
            faults, address = Faults(tmp_path / "faults"), free_address()
            faults.set(call, error, times=5)
            file = tmp_path / "operator.textproto"
            file.write_text(GATE_FILE.format(*address))
            async with process(("gate", "-o", str(file)), faults, address, "event=listening", {}):
                assert faults.injected(call) == 5, names(error)

    play(test())
