"""The platform as its protocol page describes it, for several controllers: relay, store and discovery.

Each controller reaches both at addresses of its own, so that one controller alone can be cut off: its open
connections stay open and say nothing, and new ones get no answer.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from urllib.parse import parse_qs

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ACK_DELAY_S, CALL_DELAY_S = 0.1, 0.005
Serve = Callable[[str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def chunk(text: str) -> bytes:
    return f"{len(text):x}\r\n{text}\r\n".encode()


def answer(body: str) -> bytes:
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, bytes]:
    """One HTTP request: method, target, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    method, target, _ = head[0].split(" ")
    length = sum(int(line.split(":")[1]) for line in head if line.lower().startswith("content-length:"))
    return method, target, await reader.readexactly(length) if length else b""


class Platform:
    """The relay with its proxies and its store, and discovery."""

    def __init__(self, proxies: int, zone: str, note: Callable[[str], None]) -> None:
        self.proxies, self.zone, self.note = proxies, zone, note
        self.members: dict[str, dict[str, object]] = {}
        self.addresses: dict[str, dict[str, str]] = {}  # by backend and controller
        self.revision = 1
        self.owners: dict[int, str | None] = {}
        self.holders: dict[int, str] = {}  # the controller that each slice is given to
        self.relays: dict[str, str] = {}  # the relay's address, by controller
        self.registries: dict[str, str] = {}
        self.cut: set[str] = set()  # controllers that are cut off
        self.news: dict[str, list[asyncio.StreamWriter]] = {}
        self.watches: dict[str, list[asyncio.StreamWriter]] = {}
        self.writers: dict[str, set[asyncio.StreamWriter]] = {}

    async def listen_for(self, controller: str) -> None:
        """Opens the addresses of one controller."""
        for addresses, serve in ((self.relays, self.relay), (self.registries, self.registry)):
            server = await asyncio.start_server(partial(self.serve, controller, serve), "127.0.0.1", 0)
            addresses[controller] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(
        self, controller: str, serve: Serve, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.setdefault(controller, set()).add(writer)
        try:
            await serve(controller, reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers[controller].discard(writer)
            writer.transport.abort()

    async def while_cut(self, controller: str) -> None:
        while controller in self.cut:
            await asyncio.sleep(0.02)

    def cut_off(self, controller: str) -> None:
        self.note(f"{controller} is cut off from the relay and from discovery")
        self.cut.add(controller)

    def reconnect(self, controller: str) -> None:
        """The cut is over: what was open before it is reset, and new connections are answered."""
        self.note(f"{controller} is no longer cut off")
        for writer in list(self.writers.get(controller, ())):
            writer.transport.abort()
        self.cut.discard(controller)

    # the relay

    async def relay(
        self, controller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            method, _, body = await read_request(reader)
            await self.while_cut(controller)
            if method == "GET":
                break
            await asyncio.sleep(CALL_DELAY_S)
            if controller in self.cut:
                continue
            orders = parse_qs(body.decode())["orders"][0].split(";")
            for order in orders:
                self.carry_out(controller, order.split(","))
            writer.write(
                answer(
                    f"<Response><entries><item><ok_count>{len(orders)}</ok_count></item></entries></Response>"
                )
            )
        writer.write(CHUNKED)
        lines = [
            f"event: SUBSCRIBE\ndata: node={n}&locality={self.zone}&w=20&cold=0\n\n"
            for n in range(self.proxies)
        ]
        for number in sorted(self.holders):
            if self.holders[number] == controller:
                lines += self.grant_lines(number)
        writer.write(chunk("".join(lines) + ":\n\n"))
        self.news.setdefault(controller, []).append(writer)
        while not writer.is_closing():
            await asyncio.sleep(0.9)
            if controller not in self.cut:
                writer.write(chunk(":\n\n"))

    def grant_lines(self, number: int) -> list[str]:
        owner = self.owners.get(number)
        row = f"event: ROW\ndata: shard={number}&endpoint={owner}&w=1\n\n"
        return [f"event: GRANT\ndata: shard={number}&set=1\n\n", *([row] if owner else [])]

    def say(self, controller: str, lines: Iterable[str]) -> None:
        for writer in self.news.get(controller, ()):
            if controller not in self.cut and not writer.is_closing():
                writer.write(chunk("".join(lines)))

    def give(self, number: int, controller: str) -> None:
        """The store gives a slice to another controller."""
        former, self.holders[number] = self.holders.get(number), controller
        self.note(f"the store gives slice {number} to {controller}, it holds {self.owners.get(number)}")
        if former:
            self.say(former, [f"event: GRANT\ndata: shard={number}&set=0\n\n"])
        self.say(controller, self.grant_lines(number))

    def carry_out(self, controller: str, order: list[str]) -> None:
        match order:
            case ["SET", number, owner, _] if self.holders.get(int(number)) == controller:
                self.owners[int(number)] = owner
                self.note(f"{controller} orders {','.join(order)}")
            case ["DEL", number] if self.holders.get(int(number)) == controller:
                self.owners[int(number)] = None
                self.note(f"{controller} orders {','.join(order)}")
            case ["SYNC", mark, _]:
                asyncio.get_running_loop().call_later(ACK_DELAY_S, self.acknowledge, controller, mark)
            case _:
                self.note(f"{controller} orders {','.join(order)}")

    def acknowledge(self, controller: str, mark: str) -> None:
        """All proxies have applied what was ordered up to a mark."""
        self.say(
            controller,
            [
                f"event: ACK\ndata: node={n}&nonce={mark}&latency={1000 * ACK_DELAY_S}\n\n"
                for n in range(self.proxies)
            ],
        )

    # discovery

    def add(self, name: str, addresses: dict[str, str], zone: str) -> None:
        """Lists a backend; the address differs from one controller to the next."""
        self.addresses[name] = addresses
        self.members[name] = {
            "id": name,
            "locality": zone,
            "phase": "Ready",
            "size": 1.0,
            "up_since_ms": 0,
        }

    def listing(self, controller: str, complete: bool, names: Iterable[str]) -> str:
        members = [{**self.members[name], "host_port": self.addresses[name][controller]} for name in names]
        return json.dumps({"revision": self.revision, "complete": complete, "members": members})

    async def registry(
        self, controller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _, target, _ = await read_request(reader)
        await self.while_cut(controller)
        whole = self.listing(controller, True, self.members)
        if "watch=1" not in target:
            writer.write(answer(whole))
            await writer.drain()
            await asyncio.sleep(0.1)
            return
        writer.write(CHUNKED)
        if f"from={self.revision}" not in target:
            writer.write(chunk(whole + "\n"))
        self.watches.setdefault(controller, []).append(writer)
        while not writer.is_closing():
            await asyncio.sleep(1.9)
            if controller not in self.cut:
                writer.write(chunk("\n"))
