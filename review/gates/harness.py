"""What cases with a gate that stands alone share: the operator file, the process, nodes, the record."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Iterable
from pathlib import Path

from lapispass.standins.nodes import CounterNode

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRun(Exception):
    """The case could not run to its check."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text: str) -> None:
        self.note(text)
        print(f"{self.now():7.2f} s  {text}", flush=True)


def free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


class GateWorld:
    """A gate in a process of its own, started by the deploy file, and its nodes."""

    def __init__(
        self,
        folder: Path,
        nodes: Iterable[CounterNode],
        grace_s: float,
        margin_s: float,
        write_life_s: float = 5.0,
    ) -> None:
        self.folder, self.record = folder, Record(folder)
        self.nodes = {node.name: node for node in nodes}
        self.states = dict.fromkeys(self.nodes, "READY")
        self.lines: dict[int, str] = {}  # slices whose owner the operator names
        self.grace_s, self.margin_s, self.write_life_s = grace_s, margin_s, write_life_s
        self.temporary = tempfile.TemporaryDirectory()
        self.path = Path(self.temporary.name) / "gate.textproto"
        self.address = f"127.0.0.1:{free_port()}"
        self.gate: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        for node in self.nodes.values():
            await node.start()
        self.write_file()
        self.start_gate()

    def start_gate(self) -> None:
        with (ROOT / "deploy/balancer.toml").open("rb") as deploy:
            command = tomllib.load(deploy)["run"]
        with self.path.with_suffix(".log").open("wb") as output:
            self.gate = subprocess.Popen(
                ["/bin/sh", "-c", f'{command} gate -o "$0"', str(self.path)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def write_file(self) -> None:
        """The operator file, like `deploy/gate-alone.textproto`, put in place at once."""
        lines = [
            'connection_class { name: "board" path_prefix: "/board" movable: true }',
            'connection_class { name: "till" path_prefix: "/till" writes: true benefit: 3 }',
            "nodes { connections: 5000 new_per_s: 200 burst: 20 cold_ms: 10000 cold_share: 0.2 }",
            f"drain {{ grace_ms: {self.grace_s * 1000:.0f} margin_ms: {self.margin_s * 1000:.0f} }}",
            f'gate {{ name: "g0" zone: "east" listen: "{self.address}" slices: 12 key_parameter: "key" '
            f"write_life_ms: {self.write_life_s * 1000:.0f} }}",
        ]
        for name, node in self.nodes.items():
            state = self.states[name]
            lines.append(f'node {{ id: "{name}" address: "{node.address}" zone: "east" state: {state} }}')
        lines += [f'line {{ slice: {number} owner: "{owner}" }}' for number, owner in self.lines.items()]
        new = self.path.with_suffix(".new")
        new.write_text("\n".join(lines) + "\n", encoding="utf-8")
        new.replace(self.path)

    def reload(self) -> None:
        """The operator puts a new file in place and sends SIGHUP."""
        self.write_file()
        self.check()
        assert self.gate is not None
        self.gate.send_signal(signal.SIGHUP)

    def check(self) -> None:
        if self.gate is None or self.gate.poll() is not None:
            raise NotRun("the gate has ended")

    async def stop(self) -> None:
        if self.gate is not None:
            self.gate.kill()
            self.gate.wait()
        for node in self.nodes.values():
            await node.stop()
        if self.path.with_suffix(".log").exists():
            log = self.path.with_suffix(".log").read_text("utf-8", "replace")
            self.record.file.write(f"\ngate.log\n{log}")
        self.temporary.cleanup()
        self.record.file.close()
