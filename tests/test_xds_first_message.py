"""The time-out of the first message of an xDS stream, also while the server process is paused."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from parties import play
from test_xds import controller
from xds_process import xds_controller

from lapispass.standins.xds_client import ADS, URLS
from lapispass.xds import xds_server


@asynccontextmanager
async def opened_stream(address: str) -> AsyncIterator[Any]:
    """A stream on which the request headers have been sent, and no message."""
    host, _, port = address.rpartition(":")
    channel = Channel(host, int(port))
    method: Any = StreamStreamMethod(
        channel,
        ADS + "DeltaAggregatedResources",
        discovery_pb2.DeltaDiscoveryRequest,
        discovery_pb2.DeltaDiscoveryResponse,
    )
    stream = method.open()
    try:
        async with stream:
            await stream.send_request()
            await asyncio.sleep(0.2)
            yield stream
            await stream.cancel()
    finally:
        channel.close()


def first_message() -> discovery_pb2.DeltaDiscoveryRequest:
    request = discovery_pb2.DeltaDiscoveryRequest(type_url=URLS["cds"])
    request.node.id = "c0"
    return request


def test_a_first_message_that_came_while_the_process_was_paused_is_answered(tmp_path: Path) -> None:
    """The time-out of the first message took precedence over the message that had arrived in the pause."""

    async def test() -> None:
        async with (
            xds_controller(tmp_path) as running,
            opened_stream("{}:{}".format(*running.address)) as stream,
        ):
            running.signal(signal.SIGSTOP)
            await stream.send_message(first_message())
            await asyncio.sleep(xds_server.STREAM_TIMEOUT_S + 0.3)
            running.signal(signal.SIGCONT)
            response = await asyncio.wait_for(stream.recv_message(), 3)
            assert response.type_url == URLS["cds"] and len(response.resources) == 12

    play(test())


def test_a_stream_without_a_first_message_is_ended_with_its_reason(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It ended with the status UNKNOWN, and with a traceback in the log.
    async def test() -> None:
        monkeypatch.setattr(xds_server, "STREAM_TIMEOUT_S", 0.3)
        async with controller(tmp_path) as host:
            with pytest.raises(GRPCError) as caught:  # raised by the read, and again at the end of the block
                async with opened_stream(host.xds_server.address) as stream:
                    await asyncio.wait_for(stream.recv_message(), 3)
            assert caught.value.status is Status.DEADLINE_EXCEEDED

    play(test())
