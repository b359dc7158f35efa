"""What a controller holds and works for xDS clients that stop half way, flood it or send very many fields."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import h2.config
import h2.connection
import pytest
import trustme
from async_tests import cancel_and_wait
from faulty_process import Controller, Faults, free_address, process
from half_requests import MAX_ANSWER_S, peak_memory_mb, stop_half_way
from support_gate import until

from lapispass.standins.xds_client import XdsClient

pytestmark = pytest.mark.time_limit(60)
MEMORY_MB = 128
PING, EMPTY_SETTINGS = b"\0\0\x08\x06\0\0\0\0\0" + bytes(8), b"\0\0\0\x04\0\0\0\0\0"
GOAWAY = b"\x07"  # the type of the frame, behind the three bytes of its length
FILE = """
limits {{ memory_mb: {memory_mb} }}
xds {{ listen: "{listen}" clients: {clients} new_per_s: 10000 burst: 10000 {tls} }}
alone {{ store_file: "store" slices: 6 lease_ms: 400 write_life_ms: 100 bare_ms: 4000
  visit_class {{ name: "look" agreed_ms: 500 patience_ms: 1000 benefit: 1 }}
  visit_class {{ name: "trade-order" agreed_ms: 500 patience_ms: 1000 benefit: 3 writes: true }} }}
node {{ id: "n0" address: "127.0.0.1:9000" }}
"""


@asynccontextmanager
async def running_controller(
    folder: Path, clients: int = 300, authority: trustme.CA | None = None
) -> AsyncIterator[Controller]:
    """A controller without the platform, as a process; with TLS if there is an authority."""
    address = free_address()
    tls = ""
    if authority is not None:
        made = authority.issue_cert(address[0])
        made.private_key_pem.write_to_path(str(folder / "key.pem"))
        made.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
        tls = 'tls { certificate_file: "cert.pem" key_file: "key.pem" }'
    file = folder / "xds.textproto"
    listen = "{}:{}".format(*address)
    file.write_text(FILE.format(memory_mb=MEMORY_MB, listen=listen, clients=clients, tls=tls))
    arguments = ("run", "-o", str(file))
    faults = Faults(folder / "faults")
    async with process(arguments, faults, address, "listening for xDS clients", {}) as running:
        yield running


async def asking(running: Controller, tls: ssl.SSLContext | None = None) -> Callable[[], Awaitable[float]]:
    """A function that measures how long a new client waits for its first tables, which there are by then."""
    count = 0

    async def ask() -> float:
        nonlocal count
        count += 1
        loop = asyncio.get_running_loop()
        begun = loop.time()
        client = XdsClient("{}:{}".format(*running.address), f"ask{count}", count, tls=tls)
        task = asyncio.create_task(client.run())
        await until(lambda: client.reads_from(0))
        took = loop.time() - begun
        await cancel_and_wait(task)
        return took

    await ask()
    return ask


def open_streams(fields: int = 0, streams: int = 1) -> h2.connection.H2Connection:
    """The state of a connection that opens streams of ADS; its `data_to_send` has the bytes."""
    state = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
    state.initiate_connection()
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"),
        (":authority", "x"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
        *((f"x{number:x}", "") for number in range(fields)),
    ]
    for stream in range(streams):
        state.send_headers(1 + 2 * stream, headers)
    return state


class HalfMessage:
    """A client that sends the start of a message, as fast as the server lets it, and waits."""

    def __init__(self, running: Controller, length: int) -> None:
        self.running, self.length = running, length
        self.status, self.is_open = "", True

    async def run(self) -> None:
        reader, writer = await self.running.connect()
        state = open_streams()
        left = b"\0" + (4 << 20).to_bytes(4, "big") + bytes(self.length)
        try:
            while True:
                while left and (window := state.local_flow_control_window(1)) > 0:
                    size = min(window, 16_384, len(left))
                    state.send_data(1, left[:size])
                    left = left[size:]
                writer.write(state.data_to_send())
                await writer.drain()
                if not (piece := await reader.read(65_536)):
                    return
                for event in state.receive_data(piece):
                    for name, value in getattr(event, "headers", None) or ():
                        if name == b"grpc-status":
                            self.status = value.decode()
        except (OSError, h2.exceptions.ProtocolError):
            pass
        finally:
            self.is_open = False
            writer.transport.abort()


async def test_half_messages_of_hundreds_of_clients_pass_no_memory_limit(tmp_path: Path) -> None:
    """Guards against the sum of messages that are not complete, and against one that never is."""
    async with running_controller(tmp_path) as running:
        ask = await asking(running)
        clients = [HalfMessage(running, 2 << 20) for _ in range(200)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        slowest = 0.0
        for _ in range(30):
            await asyncio.sleep(0.1)
            slowest = max(slowest, await ask())
        assert peak_memory_mb(running.process.pid) < MEMORY_MB
        assert slowest < MAX_ANSWER_S
        assert {client.status for client in clients} <= {"4", "8"}  # not complete in time, or no memory
        assert sum(client.status == "8" for client in clients) > 100
        await cancel_and_wait(*tasks)


async def test_very_many_fields_are_refused_at_once(tmp_path: Path) -> None:
    """Guards against 0.6 MB that a connection with streams of many empty fields has held."""
    async with running_controller(tmp_path) as running:
        request = open_streams(fields=1600, streams=4).data_to_send()
        clients, slowest = await stop_half_way(running.address, 200, request, 2.0, await asking(running))
        assert peak_memory_mb(running.process.pid) < MEMORY_MB
        assert slowest < MAX_ANSWER_S
        assert not any(client.has_stayed for client in clients)
        assert all(GOAWAY in client.answer for client in clients)


async def test_a_header_block_that_never_ends_is_refused(tmp_path: Path) -> None:
    """Guards against continuation frames that are kept until their block is complete."""
    async with running_controller(tmp_path) as running:
        piece = b"\0" * 16_000
        frames = len(piece).to_bytes(3, "big") + b"\x01\0" + (1).to_bytes(4, "big") + piece
        frames += 20 * (len(piece).to_bytes(3, "big") + b"\x09\0" + (1).to_bytes(4, "big") + piece)
        preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\x04\0\0\0\0\0"
        clients, slowest = await stop_half_way(
            running.address, 100, preface + frames, 1.0, await asking(running)
        )
        assert slowest < MAX_ANSWER_S
        assert not any(client.has_stayed for client in clients)
        assert peak_memory_mb(running.process.pid) < MEMORY_MB


async def nothing() -> float:
    return 0.0


async def test_connections_beyond_the_bound_are_refused_at_once(tmp_path: Path) -> None:
    """Guards against connections without streams, which no other bound counts."""
    async with running_controller(tmp_path, clients=20) as running:
        request = open_streams().data_to_send()
        clients, _ = await stop_half_way(running.address, 150, request, 1.0, nothing)
        assert sum(client.has_stayed for client in clients) <= 84
        refused = [client for client in clients if not client.has_stayed]
        assert len(refused) >= 66 and all(GOAWAY in client.answer for client in refused)


@pytest.mark.parametrize(
    ("frame", "has_tls"),
    [(PING, False), (PING, True), (EMPTY_SETTINGS, False)],
    ids=["ping", "ping over tls", "settings"],
)
async def test_frames_that_ask_for_an_answer_at_full_speed_delay_nobody(
    tmp_path: Path, frame: bytes, has_tls: bool
) -> None:
    """Guards against answers that are kept for a client that does not read them."""
    authority, context = (trustme.CA(), ssl.create_default_context()) if has_tls else (None, None)
    if authority is not None and context is not None:
        context.set_alpn_protocols(["h2"])
        authority.configure_trust(context)
    async with running_controller(tmp_path, authority=authority) as running:
        ask = await asking(running, context)
        _, writer = await asyncio.open_connection(*running.address, ssl=context)
        writer.write(open_streams().data_to_send())
        stopped = asyncio.Event()

        async def flood() -> None:
            try:
                while not stopped.is_set():
                    writer.write(frame * 500)
                    await writer.drain()
                    await asyncio.sleep(0)
            except OSError:
                pass

        task, slowest = asyncio.create_task(flood()), 0.0
        for _ in range(20):
            slowest = max(slowest, await ask())
            await asyncio.sleep(0.1)
        stopped.set()
        writer.transport.abort()
        await task
        assert slowest < MAX_ANSWER_S
        assert peak_memory_mb(running.process.pid) < MEMORY_MB
