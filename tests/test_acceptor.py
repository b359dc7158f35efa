"""The options of an accepted connection."""

from __future__ import annotations

import asyncio
import socket

from parties import play

from lapispass.net.acceptor import Acceptor, listen_at, stream_protocols
from lapispass.net.counters import Counters
from lapispass.net.log import PartLogger


def test_answers_do_not_wait_for_the_client_to_acknowledge_earlier_ones() -> None:
    """With Nagle's algorithm, a second answer waited 40 ms for the client's delayed ACK."""

    async def test() -> None:
        connections: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            connections.put_nowait((reader, writer))

        listener = listen_at("127.0.0.1:0", 8)
        acceptor = Acceptor(
            listener,
            stream_protocols(serve, 1000),
            name="test",
            accept_batch=8,
            log=PartLogger("test"),
            counters=Counters(),
        )
        try:
            _, client = await asyncio.open_connection(*listener.getsockname())
            async with asyncio.timeout(5):
                _, writer = await connections.get()
            accepted = writer.get_extra_info("socket")
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            client.close()
            writer.close()
        finally:
            acceptor.close()

    play(test())
