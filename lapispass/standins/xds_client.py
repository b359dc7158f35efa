"""A stand-in xDS client on grpclib that follows the public specification, with scripted faults.

It applies each response completely and in order, acknowledges it, and removes resources whose time to live
has expired. It writes to the endpoint of a slice's write assignment while it has the write listener and the
write routes; it keeps the routes when the listener expires. `faults` says what it does wrong.
"""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h2.exceptions
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2
from grpclib.client import Channel, StreamStreamMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
PREFIX = "type.googleapis.com/envoy."
URLS = {
    "cds": PREFIX + "config.cluster.v3.Cluster",
    "eds": PREFIX + "config.endpoint.v3.ClusterLoadAssignment",
    "lds": PREFIX + "config.listener.v3.Listener",
    "rds": PREFIX + "config.route.v3.RouteConfiguration",
}
KIND_BY_URL = {url: kind for kind, url in URLS.items()}
STREAM_ERRORS = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    h2.exceptions.ProtocolError,
    EOFError,
    asyncio.TimeoutError,
)


@dataclass
class Faults:
    """How a client deviates from the specification."""

    read_delay_s: float = (
        0.0  # delay before each response is read; until then the client uses its previous state
    )
    eds_read_delay_s: float = 0.0  # the same for assignments only; other responses are handled meanwhile
    ack_delay_s: float = 0.0  # delay of each acknowledgement
    never_acks: bool = False  # applies responses but never acknowledges
    ignores_responses: bool = False  # neither applies nor acknowledges
    rejects_eds: bool = False  # rejects every assignment and does not apply it
    rejects_applied_eds: bool = False  # rejects every assignment but applies it
    acks_twice: bool = False  # sends each acknowledgement twice
    sends_wrong_nonce: bool = False  # first acknowledges with a wrong nonce
    ttl: bool = True
    reconnect_delay_s: float = 0.02  # minimum wait before it reconnects


@dataclass
class XdsClient:
    """One client; `run` connects and reconnects until cancelled."""

    address: str
    name: str
    seed: int
    incremental: bool = True
    zone: str = "east"
    faults: Faults = field(default_factory=Faults)
    held: dict[str, dict[str, str]] = field(
        default_factory=lambda: {kind: {} for kind in URLS}
    )  # version by resource name
    endpoints: dict[str, tuple[str, ...]] = field(default_factory=dict)  # nodes by assignment
    drops: dict[str, int] = field(default_factory=dict)
    route_counts: dict[str, int] = field(default_factory=dict)  # number of routes by route configuration
    expires: dict[str, float] = field(default_factory=dict)  # expiry time by listener
    updates: int = 0
    streams: int = 0
    removed: list[str] = field(default_factory=list)
    on_applied: Callable[[XdsClient], None] = lambda _: None
    stream: Any = None
    channel: Channel | None = None
    delayed_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    frozen: bool = False  # handles nothing, like a stopped process
    tls: ssl.SSLContext | None = None

    async def run(self) -> None:
        """Opens one stream after another."""
        chance = random.Random(self.seed)
        while True:
            host, port = self.address.rsplit(":", 1)
            self.channel = Channel(host, int(port), ssl=self.tls)
            try:
                await self.run_stream(self.channel)
            except STREAM_ERRORS:
                pass
            finally:
                self.channel.close()
                self.stream = None
            await asyncio.sleep(self.faults.reconnect_delay_s * (1 + chance.random()))

    def drop(self) -> None:
        """Aborts the connection at once."""
        if self.channel is not None:
            protocol = self.channel._protocol
            transport = getattr(getattr(protocol, "connection", None), "_transport", None)
            if transport is not None:
                transport.abort()

    async def run_stream(self, channel: Channel) -> None:
        """Subscribes on a new stream and handles responses until it ends."""
        request = discovery_pb2.DeltaDiscoveryRequest if self.incremental else discovery_pb2.DiscoveryRequest
        answer = discovery_pb2.DeltaDiscoveryResponse if self.incremental else discovery_pb2.DiscoveryResponse
        verb = "DeltaAggregatedResources" if self.incremental else "StreamAggregatedResources"
        method: Any = StreamStreamMethod(channel, ADS + verb, request, answer)
        self.streams += 1
        async with method.open() as stream:
            self.stream = stream
            for index, kind in enumerate(("cds", "eds", "lds", "rds")):
                first = request(type_url=URLS[kind])
                if index == 0:
                    first.node.id = self.name
                    first.node.locality.zone = self.zone
                    if self.faults.ttl:
                        first.node.client_features.append("xds.config.supports-resource-ttl")
                if self.incremental:
                    if kind in ("eds", "rds"):
                        first.resource_names_subscribe.append("*")
                    self.expire()
                    first.initial_resource_versions.update(self.held[kind])
                elif kind in ("eds", "rds"):
                    first.resource_names.append("*")
                await stream.send_message(first)
            while (message := await stream.recv_message()) is not None:
                while self.frozen:
                    await asyncio.sleep(0.005)
                if self.faults.eds_read_delay_s and KIND_BY_URL[message.type_url] == "eds":
                    delayed = asyncio.get_running_loop().create_task(self.take_later(stream, message))
                    self.delayed_tasks.add(delayed)
                    delayed.add_done_callback(self.delayed_tasks.discard)
                    continue
                await self.take(stream, message)

    async def take_later(self, stream: Any, message: Any) -> None:
        """Handles an assignment late, in a task of its own, like clients with a thread per resource type."""
        await asyncio.sleep(self.faults.eds_read_delay_s)
        try:
            if stream is self.stream:
                await self.take(stream, message)
        except STREAM_ERRORS:
            pass

    async def take(self, stream: Any, message: Any) -> None:
        """Applies a response and acknowledges or rejects it, with the scripted faults."""
        kind, faults = KIND_BY_URL[message.type_url], self.faults
        if faults.read_delay_s:
            await asyncio.sleep(faults.read_delay_s)
        rejects_eds = kind == "eds" and (faults.rejects_eds or faults.rejects_applied_eds)
        if not faults.ignores_responses and not (kind == "eds" and faults.rejects_eds):
            (self.apply_delta if self.incremental else self.apply_whole)(kind, message)
            self.updates += 1
            self.on_applied(self)
        if faults.never_acks or faults.ignores_responses:
            return
        if faults.ack_delay_s:
            await asyncio.sleep(faults.ack_delay_s)
        answer = type(message).__name__.replace("Response", "Request")
        reply = getattr(discovery_pb2, answer)(type_url=message.type_url, response_nonce=message.nonce)
        if not self.incremental:
            reply.version_info = message.version_info
            if kind in ("eds", "rds"):
                reply.resource_names.append("*")
        if rejects_eds:
            reply.error_detail.message = "turned down, as scripted"
        if faults.sends_wrong_nonce:
            wrong = type(reply)()
            wrong.CopyFrom(reply)
            wrong.response_nonce = "another"
            await stream.send_message(wrong)
        for _ in range(1 + faults.acks_twice):
            await stream.send_message(reply)

    def apply_delta(self, kind: str, message: Any) -> None:
        now = asyncio.get_running_loop().time()
        for resource in message.resources:
            if not resource.HasField(
                "resource"
            ):  # only renews the time to live; does not restore an expired resource
                self.expire()
                if resource.name in self.held[kind] and resource.HasField("ttl"):
                    self.expires[resource.name] = now + resource.ttl.ToNanoseconds() / 1e9
                continue
            self.held[kind][resource.name] = resource.version
            self.store(kind, resource.name, resource.resource)
            if resource.HasField("ttl"):
                self.expires[resource.name] = now + resource.ttl.ToNanoseconds() / 1e9
        for name in message.removed_resources:
            self.remove(kind, name)

    def apply_whole(self, kind: str, message: Any) -> None:
        now = asyncio.get_running_loop().time()
        names = set()
        for wrapped in message.resources:
            if wrapped.Is(discovery_pb2.Resource.DESCRIPTOR):
                resource = discovery_pb2.Resource()
                wrapped.Unpack(resource)
                names.add(resource.name)
                if resource.HasField("resource"):
                    self.held[kind][resource.name] = resource.version
                else:
                    self.expire()
                if resource.name in self.held[kind]:
                    self.expires[resource.name] = now + resource.ttl.ToNanoseconds() / 1e9
                continue
            name = wrapped.value[
                2 : 2 + wrapped.value[1]
            ].decode()  # the first field of all four resource types is the name
            names.add(name)
            self.held[kind][name] = message.version_info
            self.store(kind, name, wrapped)
        renewal = (
            all(w.Is(discovery_pb2.Resource.DESCRIPTOR) for w in message.resources) and message.resources
        )
        if kind in ("cds", "lds") and not renewal:
            for name in self.held[kind].keys() - names:
                self.remove(kind, name)

    def store(self, kind: str, name: str, wrapped: Any) -> None:
        if kind == "eds":
            assignment = endpoint_pb2.ClusterLoadAssignment()
            wrapped.Unpack(assignment)
            self.endpoints[name] = tuple(
                lb_endpoint.endpoint.hostname
                for locality in assignment.endpoints
                for lb_endpoint in locality.lb_endpoints
            )
            self.drops[name] = sum(d.drop_percentage.numerator for d in assignment.policy.drop_overloads)
        elif kind == "rds":
            routes = route_pb2.RouteConfiguration()
            wrapped.Unpack(routes)
            self.route_counts[name] = sum(len(host.routes) for host in routes.virtual_hosts)

    def remove(self, kind: str, name: str) -> None:
        self.held[kind].pop(name, None)
        self.expires.pop(name, None)
        self.removed.append(name)
        if kind == "eds":
            self.endpoints.pop(name, None)
        elif kind == "rds":
            self.route_counts.pop(name, None)

    def expire(self) -> None:
        """Removes listeners whose time to live has expired; called before their state is used."""
        now = asyncio.get_running_loop().time()
        for name in [name for name, until in self.expires.items() if until <= now]:
            self.remove("lds", name)

    def writes_to(self, number: int) -> str | None:
        """The node to which a write of a slice goes now, or None if the client may not write."""
        self.expire()
        if self.frozen or "writes" not in self.held["lds"] or not self.route_counts.get("writes"):
            return None
        nodes = self.endpoints.get(f"{number}.w", ())
        return nodes[0] if nodes else None

    def reads_from(self, number: int) -> str | None:
        nodes = self.endpoints.get(f"{number}.r", ())
        return nodes[0] if nodes else None
