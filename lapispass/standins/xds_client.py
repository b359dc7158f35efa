"""A client that speaks xDS as the public specification has it, on grpclib, with faults that can be scripted.

It applies a response whole and in order, acknowledges it, lets resources whose time to live has run out go,
and writes to the endpoint of a slice's write assignment while it has the write listener and write routes,
which it keeps when the listener has run out. What it does wrong is in `faults`.
"""

from __future__ import annotations

import asyncio
import random
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
    """What a client does otherwise than it should."""

    read_delay_s: float = 0.0  # reads a response so much later, and acts on what it had until then
    eds_read_delay_s: float = 0.0  # the same for assignments alone, beside what else it does
    ack_delay_s: float = 0.0  # an acknowledgement comes so much later
    never_acks: bool = False  # applies, and acknowledges nothing
    ignores_responses: bool = False  # neither
    rejects_eds: bool = False  # turns every assignment down, without applying it
    rejects_applied_eds: bool = False  # turns it down, and has applied it all the same
    acks_twice: bool = False  # acknowledges everything twice
    sends_wrong_nonce: bool = False  # acknowledges with another nonce first
    ttl: bool = True
    reconnect_delay_s: float = 0.02  # before it connects again, at the least


@dataclass
class XdsClient:
    """One client; `run` until it is cancelled."""

    address: str
    name: str
    seed: int
    incremental: bool = True
    zone: str = "east"
    faults: Faults = field(default_factory=Faults)
    held: dict[str, dict[str, str]] = field(
        default_factory=lambda: {kind: {} for kind in URLS}
    )  # name: version
    endpoints: dict[str, tuple[str, ...]] = field(default_factory=dict)  # assignment: nodes
    drops: dict[str, int] = field(default_factory=dict)
    routed: dict[str, int] = field(default_factory=dict)  # route configuration: how many routes it has
    expires: dict[str, float] = field(default_factory=dict)  # listener: when its time to live runs out
    updates: int = 0
    streams: int = 0
    removed: list[str] = field(default_factory=list)
    on_applied: Callable[[XdsClient], None] = lambda _: None
    stream: Any = None
    channel: Channel | None = None
    slow: set[asyncio.Task[None]] = field(default_factory=set)
    frozen: bool = False  # stands still, as a stopped process

    async def run(self) -> None:
        """One stream after the other."""
        chance = random.Random(self.seed)
        while True:
            host, port = self.address.rsplit(":", 1)
            self.channel = Channel(host, int(port))
            try:
                await self.talk(self.channel)
            except STREAM_ERRORS:
                pass
            finally:
                self.channel.close()
                self.stream = None
            await asyncio.sleep(self.faults.reconnect_delay_s * (1 + chance.random()))

    def drop(self) -> None:
        """The connection is cut, at this moment."""
        if self.channel is not None:
            protocol = self.channel._protocol
            transport = getattr(getattr(protocol, "connection", None), "_transport", None)
            if transport is not None:
                transport.abort()

    async def talk(self, channel: Channel) -> None:
        """One stream."""
        request = discovery_pb2.DeltaDiscoveryRequest if self.incremental else discovery_pb2.DiscoveryRequest
        answer = discovery_pb2.DeltaDiscoveryResponse if self.incremental else discovery_pb2.DiscoveryResponse
        verb = "DeltaAggregatedResources" if self.incremental else "StreamAggregatedResources"
        method: Any = StreamStreamMethod(channel, ADS + verb, request, answer)
        self.streams += 1
        async with method.open() as stream:
            self.stream = stream
            for place, kind in enumerate(("cds", "eds", "lds", "rds")):
                first = request(type_url=URLS[kind])
                if place == 0:
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
                    slow = asyncio.get_running_loop().create_task(self.take_later(stream, message))
                    self.slow.add(slow)
                    slow.add_done_callback(self.slow.discard)
                    continue
                await self.take(stream, message)

    async def take_later(self, stream: Any, message: Any) -> None:
        """Assignments in a task of their own, as clients with a thread for each kind have it."""
        await asyncio.sleep(self.faults.eds_read_delay_s)
        try:
            if stream is self.stream:
                await self.take(stream, message)
        except STREAM_ERRORS:
            pass

    async def take(self, stream: Any, message: Any) -> None:
        """One response."""
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
            if not resource.HasField("resource"):  # a renewal: it revives nothing that has run out
                self.expire()
                if resource.name in self.held[kind] and resource.HasField("ttl"):
                    self.expires[resource.name] = now + resource.ttl.ToNanoseconds() / 1e9
                continue
            self.held[kind][resource.name] = resource.version
            self.keep(kind, resource.name, resource.resource)
            if resource.HasField("ttl"):
                self.expires[resource.name] = now + resource.ttl.ToNanoseconds() / 1e9
        for name in message.removed_resources:
            self.forget(kind, name)

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
            ].decode()  # the first field of all four kinds is the name
            names.add(name)
            self.held[kind][name] = message.version_info
            self.keep(kind, name, wrapped)
        renewal = (
            all(w.Is(discovery_pb2.Resource.DESCRIPTOR) for w in message.resources) and message.resources
        )
        if kind in ("cds", "lds") and not renewal:
            for name in self.held[kind].keys() - names:
                self.forget(kind, name)

    def keep(self, kind: str, name: str, wrapped: Any) -> None:
        if kind == "eds":
            assignment = endpoint_pb2.ClusterLoadAssignment()
            wrapped.Unpack(assignment)
            self.endpoints[name] = tuple(
                one.endpoint.hostname for locality in assignment.endpoints for one in locality.lb_endpoints
            )
            self.drops[name] = sum(d.drop_percentage.numerator for d in assignment.policy.drop_overloads)
        elif kind == "rds":
            routes = route_pb2.RouteConfiguration()
            wrapped.Unpack(routes)
            self.routed[name] = sum(len(host.routes) for host in routes.virtual_hosts)

    def forget(self, kind: str, name: str) -> None:
        self.held[kind].pop(name, None)
        self.expires.pop(name, None)
        self.removed.append(name)
        if kind == "eds":
            self.endpoints.pop(name, None)
        elif kind == "rds":
            self.routed.pop(name, None)

    def expire(self) -> None:
        """What has outlived its time is let go, before anything else is done."""
        now = asyncio.get_running_loop().time()
        for name in [name for name, until in self.expires.items() if until <= now]:
            self.forget("lds", name)

    def writes_to(self, number: int) -> str | None:
        """The node that a write of a slice goes to now, or none."""
        self.expire()
        if self.frozen or "writes" not in self.held["lds"] or not self.routed.get("writes"):
            return None
        nodes = self.endpoints.get(f"{number}.w", ())
        return nodes[0] if nodes else None

    def reads_from(self, number: int) -> str | None:
        nodes = self.endpoints.get(f"{number}.r", ())
        return nodes[0] if nodes else None
