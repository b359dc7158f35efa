"""What cases with several controllers share: a coordination service and ways to it, nodes, clients.

The service and the clients are the project's own stand-ins. A controller is a process of its own, started by
the `run` command of the deploy file. Everything is on loopback, at free ports, in a temporary folder.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from lapispass.standins.coordination import CoordinationServer
from lapispass.standins.xds_client import Faults, XdsClient

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRun(Exception):
    """The case could not run to its check."""


def free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


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


class Way:
    """The way from one controller to the coordination service.

    `vanish` is what a machine does that vanishes: open connections stay open and say nothing, new ones never
    come up. After `come_back` new ones work. What it has forgotten stays silent, and is reset if the
    controller sends anything on it.
    """

    def __init__(self, target: str) -> None:
        self.host, port = target.rsplit(":", 1)
        self.port, self.address = int(port), ""
        self.is_gone = False
        self.links: set[Link] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(reader, writer, came_up=not self.is_gone)
        self.links.add(link)
        try:
            if link.came_up:
                await link.run(self.host, self.port)
            else:  # it never comes up; reset once the machine is back
                while self.is_gone:
                    await asyncio.sleep(0.02)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.links.discard(link)
            writer.transport.abort()

    def vanish(self) -> None:
        self.is_gone = True
        for link in self.links:
            link.forget()

    def come_back(self) -> None:
        self.is_gone = False
        for link in self.links:
            link.machine_is_back = True

    def stop(self) -> None:
        self.server.close()


class Link:
    """One connection of a controller to the service."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, came_up: bool) -> None:
        self.reader, self.writer, self.came_up = reader, writer, came_up
        self.service: asyncio.StreamWriter | None = None
        self.forgotten = self.machine_is_back = False

    def forget(self) -> None:
        """The service's machine is gone: it knows nothing of this connection any more."""
        self.forgotten = True
        if self.service is not None:
            self.service.transport.abort()

    async def run(self, host: str, port: int) -> None:
        answers, self.service = await asyncio.open_connection(host, port)
        back = asyncio.create_task(self.bring_back(answers))
        try:
            while data := await self.reader.read(65536):
                if not self.forgotten:
                    self.service.write(data)
                elif self.machine_is_back:
                    return  # a machine that does not know the connection resets it
        finally:
            back.cancel()
            self.service.transport.abort()

    async def bring_back(self, answers: asyncio.StreamReader) -> None:
        try:
            while data := await answers.read(65536):
                if not self.forgotten:
                    self.writer.write(data)
        except OSError:
            pass
        if not self.forgotten:
            self.writer.transport.abort()


class Node:
    """A server: it takes visits `KEY ID KIND`, works for `work_s` and answers `done ID`."""

    def __init__(self, name: str, record: Record, work_s: float) -> None:
        self.name, self.record, self.work_s = name, record, work_s
        self.runs: list[tuple[float, float, int, str, str]] = []  # begun, ended, slice, kind, id

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            number, visit, kind = (await reader.readline()).decode().split()
            begun = self.record.now()
            await asyncio.sleep(self.work_s)
            self.runs.append((begun, self.record.now(), int(number), kind, visit))
            self.record.note(f"run {visit} {kind} slice={number} at={self.name} begun={begun:.3f}")
            writer.write(f"done {visit}\n".encode())
            await writer.drain()
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class World:
    """Everything of one case."""

    def __init__(
        self,
        folder: Path,
        *,
        controllers: int,
        clients: int,
        nodes: int,
        slices: int,
        settings: str,
        session_s: int = 3,
        work_s: float = 0.05,
    ) -> None:
        self.folder, self.record = folder, Record(folder)
        self.service = CoordinationServer()
        self.names = [f"c{index}" for index in range(controllers)]
        self.states = {f"n{index}": "READY" for index in range(nodes)}
        self.nodes = {name: Node(name, self.record, work_s) for name in self.states}
        self.slices, self.settings, self.session_s = slices, settings, session_s
        self.ports = {name: free_port() for name in self.names}
        self.ways: dict[str, Way] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.clients = [
            XdsClient(
                f"127.0.0.1:{self.ports[self.names[index % controllers]]}",
                f"x{index}",
                index,
                index % 2 == 0,
                faults=Faults(reconnect_delay_s=0.05),
            )
            for index in range(clients)
        ]
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent = 0
        self.temporary = tempfile.TemporaryDirectory()
        with (ROOT / "deploy/balancer.toml").open("rb") as deploy:
            self.run_command = tomllib.load(deploy)["run"]

    async def start(self) -> None:
        await self.service.start()
        for node in self.nodes.values():
            await node.start()
        for name in self.names:
            self.ways[name] = Way(self.service.address)
            await self.ways[name].start()

    def file(self, name: str) -> Path:
        return Path(self.temporary.name) / f"{name}.textproto"

    def write_file(self, name: str) -> Path:
        """The operator file of a controller, put in place at once."""
        nodes = "\n".join(
            f'node {{ id: "{node}" address: "{self.nodes[node].address}" zone: "east" state: {state} }}'
            for node, state in self.states.items()
        )
        text = (
            f'xds {{ listen: "127.0.0.1:{self.ports[name]}" }}\n'
            f"alone {{ slices: {self.slices} {self.settings}\n"
            f'shared {{ name: "{name}" coordination: "{self.ways[name].address}" '
            f"session_s: {self.session_s} }}\n"
            'visit_class { name: "stock-check" agreed_ms: 1500 patience_ms: 5000 benefit: 1 }\n'
            'visit_class { name: "trade-order" agreed_ms: 3000 patience_ms: 5000 benefit: 2 writes: true }\n'
            f"}}\n{nodes}\n"
        )
        new = self.file(name).with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self.file(name))
        return self.file(name)

    def start_controller(self, name: str) -> None:
        path = self.write_file(name)
        log = self.file(name).with_suffix(".log").open("ab")
        self.processes[name] = subprocess.Popen(
            ["/bin/sh", "-c", f'{self.run_command} run -o "$0"', str(path)],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.record.say(f"controller {name} started")

    async def set_state(self, nodes: tuple[str, ...], state: str, apart_s: float = 0.0) -> None:
        """The operator sets the state of nodes in the file of each controller and sends it SIGHUP."""
        self.states.update(dict.fromkeys(nodes, state))
        for name, process in self.processes.items():
            self.write_file(name)
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(apart_s)
        self.record.say(f"{', '.join(nodes)}: {state} in the operator files, SIGHUP to {len(self.processes)}")

    def begin(self, work: object) -> None:
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start_clients(self) -> None:
        for client in self.clients:
            self.begin(client.run())

    async def wait_until(self, what: str, check: object, seconds: float) -> None:
        until = time.monotonic() + seconds
        while not check():  # type: ignore[operator]
            for name, process in self.processes.items():
                if process.poll() is not None:
                    raise NotRun(f"controller {name} ended with {process.returncode}")
            if time.monotonic() > until:
                raise NotRun(f"not within {seconds:g} s: {what}")
            await asyncio.sleep(0.05)
        self.record.say(what)

    def all_served(self) -> bool:
        return all(
            client.writes_to(number) and client.reads_from(number)
            for client in self.clients
            for number in range(self.slices)
        )

    def send(self, client: XdsClient, number: int, kind: str) -> str | None:
        """Sends a visit to the node that the client's tables name; returns that node."""
        node = client.writes_to(number) if kind == "write" else client.reads_from(number)
        if node is not None:
            self.sent += 1
            self.begin(self.visit(node, number, f"{client.name}-{self.sent}", kind))
        return node

    async def visit(self, node: str, number: int, visit: str, kind: str) -> None:
        self.record.note(f"sent {visit} {kind} slice={number} to={node}")
        try:
            host, port = self.nodes[node].address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{number} {visit} {kind}\n".encode())
            answer = (await reader.readline()).decode().strip()
            writer.close()
        except OSError as error:
            answer = f"failed {type(error).__name__}"
        self.record.note(f"answered {visit} {answer}")

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*list(self.tasks), return_exceptions=True)
        for way in self.ways.values():
            way.stop()
        self.service.stop()
        for node in self.nodes.values():
            node.server.close()
        for log in sorted(Path(self.temporary.name).glob("*.log")):
            self.record.file.write(f"\n{log.name}\n{log.read_text('utf-8', 'replace')}")
        self.temporary.cleanup()
        self.record.file.close()
