"""xDS clients beside a controller: each stream in its own task, resources from the controller's turns."""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol, TypeVar

import h2.exceptions
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from lapispass import interface
from lapispass.core import resources, tables
from lapispass.core.clients import TTL_FEATURE, Client, Doorway, Numbers, Step, Terms
from lapispass.core.table_snapshot import TableSnapshot
from lapispass.core.versions import Shelf, Update
from lapispass.net import log
from lapispass.net.counters import Counters
from lapispass.net.http import within
from lapispass.net.log import Part
from lapispass.operator.read import BadFile, Source
from lapispass.xds import codec
from lapispass.xds.server import ClosingServer
from lapispass.xds.write_routes import WriteRoutes

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
LOOK_S = 0.05
STILL_US = 300_000
NAME_MOST = 256
STUCK_S = 10.0
LATE_US = 100_000  # a process later than this stood still
T = TypeVar("T")
Message = Any  # a DiscoveryRequest or a DeltaDiscoveryRequest; the types are generated


class Module(Protocol):
    """What the desk needs of whoever runs the controller's turns."""

    def tell(self, event: interface.Event) -> None:
        """For the next turn."""


class Desk:
    """All streams of one controller."""

    def __init__(
        self,
        module: Module,
        now: Callable[[], int],
        deployment: interface.Deployment,
        terms: Terms,
        doorway: Doorway,
        first_number: int,
        counters: Counters,
        listen: str,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.module, self.now, self.deployment, self.terms = module, now, deployment, terms
        self.doorway, self.counters, self.tls = doorway, counters, tls
        self.listen, self.address = listen, ""
        self.log = Part("xds", 1_000_000)
        self.shelf = Shelf()
        self.picture = TableSnapshot(
            deployment.slices, deployment.classes, deployment.admission_mode == "share"
        )
        resources.fixed(self.shelf, deployment.slices, max(1, deployment.default_retry), terms.ttl_us)
        self.write_routes = WriteRoutes(self.shelf)
        self.numbers = Numbers(first_number, terms.lease_us)
        self.clients: dict[str, tuple[Client, asyncio.Event]] = {}
        self.probation: dict[str, int] = {}  # names of clients that lapsed: until when they only read
        self.addresses: dict[str, tables.Address] = {}
        self.turn = 0
        self.marks: deque[tuple[int, int, int]] = deque(maxlen=4096)
        reads = next((kind.name for kind in deployment.classes if not kind.writes), "")
        self.classes = reads, next((kind.name for kind in deployment.classes if kind.writes), reads)
        self.reporters = 0
        self.fence: Callable[[int], bool] = lambda now: True  # whether clients may be let write at all
        self.awake_at = now()
        self.parted: list[tuple[int, int]] = []  # clients that left: until when they may write, by which turn
        self.keepalive_s = 10.0

    # beside the controller's turns

    def turned(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """A turn's changes become versions; whoever watches them is woken."""
        changes, mark = self.picture.apply_turn(events, orders, self.addresses)
        self.publish(self.picture.tables, changes, mark)

    def publish(self, stands: tables.Tables, changes: list[tables.TableChange], mark: int | None) -> None:
        """Changes that stand already become versions; behind them a mark."""
        if not changes and mark is None:
            return
        self.turn += 1
        self.counters["xds.versions"] += resources.follow(self.shelf, stands, changes, self.turn)
        if mark is not None:
            self.marks.append((self.turn, mark, self.now()))
        for _, wake in self.clients.values():
            wake.set()

    def proven(self, now: int) -> int:
        """The turn up to which no client of this desk can write by an older table, for other controllers.

        Those that left count for a lease with what they had proven.
        """
        self.parted = [(until, turn) for until, turn in self.parted if until > now]
        standing = [
            min(self.turn, client.watches["eds"].proven_turn)
            for client, _ in self.clients.values()
            if client.number is not None and "eds" in client.watches
        ]
        return min([self.turn, *standing, *(turn for _, turn in self.parted)])

    def awake(self) -> int:
        """The time now. Guards clients against our own standing still, which would look like their
        silence."""
        now = self.now()
        gap, self.awake_at = now - self.awake_at, now
        if gap > STILL_US:
            self.counters["xds.stood_still"] += 1
            self.log.rate_limited("stood still", for_us=gap)
            for client, _ in self.clients.values():
                client.stood_still(gap)
        return now

    async def ticks(self) -> None:
        """So that `awake` can tell a pause from quiet."""
        while True:
            await asyncio.sleep(LOOK_S)
            log.write_on()
            self.awake()

    # its life

    def __mapping__(self) -> dict[str, Handler]:
        """The services that are offered, as grpclib asks for them."""
        stream = Cardinality.STREAM_STREAM
        return {
            ADS + "StreamAggregatedResources": Handler(
                self.sotw, stream, discovery_pb2.DiscoveryRequest, discovery_pb2.DiscoveryResponse
            ),
            ADS + "DeltaAggregatedResources": Handler(
                self.delta, stream, discovery_pb2.DeltaDiscoveryRequest, discovery_pb2.DeltaDiscoveryResponse
            ),
            LRS: Handler(self.loads, stream, lrs_pb2.LoadStatsRequest, lrs_pb2.LoadStatsResponse),
        }

    async def run(self) -> None:
        """Listens until it is cancelled."""
        # Guards against connections that say nothing: whoever answers no ping is closed.
        pings = Configuration(
            _keepalive_time=self.keepalive_s,
            _keepalive_timeout=self.keepalive_s / 2,
            _keepalive_permit_without_calls=True,
            _http2_max_pings_without_data=0,
        )
        server = ClosingServer([self], config=pings)
        self.address = await server.listen(self.listen, self.tls, self.log, self.counters)
        self.log.say("listening for xDS clients", address=self.address, tls=self.tls is not None)
        ticking = asyncio.get_running_loop().create_task(self.ticks())
        try:
            await server.wait_closed()
        finally:
            ticking.cancel()
            await server.end()

    async def sotw(self, stream: Stream[Any, Any]) -> None:
        await self.serve(stream, True)

    async def delta(self, stream: Stream[Any, Any]) -> None:
        await self.serve(stream, False)

    async def serve(self, stream: Stream[Any, Any], whole: bool) -> None:
        """The life of a client's stream."""
        self.counters["xds.streams"] += 1
        if wait := self.doorway.ask(self.now(), len(self.clients)):
            self.counters["xds.refused"] += 1
            raise GRPCError(Status.UNAVAILABLE, f"come back in {wait // 1000} ms")
        first = await self.in_time(stream.recv_message(), "no first message")
        if first is None:
            return
        name = first.node.id
        if not 0 < len(name) <= NAME_MOST:
            raise GRPCError(Status.INVALID_ARGUMENT, "node.id is missing or too long")
        wake = asyncio.Event()
        has_ttl = TTL_FEATURE in first.node.client_features
        if former := self.clients.get(name):
            former[0].name = ""  # its own end finds that another one has its place
            former[1].set()
        client = Client(
            name,
            first.node.locality.zone,
            whole,
            has_ttl,
            self.shelf,
            self.terms,
            self.now(),
            self.probation.pop(name, 0),
        )
        self.clients[name] = client, wake
        self.counters["xds.joined"] += 1
        self.log.rate_limited(
            "client joined", client=name, whole=whole, writes="reads only" if not has_ttl else "by lease"
        )
        sending = asyncio.get_running_loop().create_task(self.send(stream, client, wake))
        reading: asyncio.Future[Any] | None = None
        try:
            self.take(client, first)
            wake.set()
            while True:
                reading = asyncio.ensure_future(stream.recv_message())
                await asyncio.wait({reading, sending}, return_when=asyncio.FIRST_COMPLETED)
                if sending.done():
                    sending.result()
                    return
                message = reading.result()
                if message is None:
                    return
                self.take(client, message)
                wake.set()
        except (StreamTerminatedError, h2.exceptions.ProtocolError, ConnectionError):
            self.counters["xds.broken"] += 1
        finally:
            sending.cancel()
            if reading is not None:
                reading.cancel()
            self.part(name, client)
            await asyncio.gather(sending, *([reading] if reading else []), return_exceptions=True)

    async def in_time(self, work: Awaitable[T], what_is_late: str) -> T:
        """What the work gives within `STUCK_S`; a client that takes longer costs its own stream.

        Where this process stood still, what has come meanwhile is read first.
        """
        try:
            return await within(int(STUCK_S * 1e6), work, LATE_US)
        except TimeoutError:
            self.counters["xds.stuck"] += 1
            raise GRPCError(Status.DEADLINE_EXCEEDED, f"{what_is_late} within {STUCK_S:g} s") from None

    def part(self, name: str, client: Client) -> None:
        """The stream has ended, from whichever side."""
        if self.clients.get(name, (None,))[0] is client:
            del self.clients[name]
            if client.probation_until > self.now():
                self.probation[name] = client.probation_until
                while len(self.probation) > self.terms.clients:
                    self.probation.pop(next(iter(self.probation)))
        self.report(client, client.end(self.now(), self.numbers))
        self.counters["xds.left"] += 1

    async def send(self, stream: Stream[Any, Any], client: Client, wake: asyncio.Event) -> None:
        """What is due, whenever something has changed, and renewals in time."""
        async for update in self.due(client, wake):
            message = codec.whole(update) if client.whole else codec.delta(update)
            self.counters["xds.responses"] += 1
            self.counters["xds.resources"] += len(update.items)
            self.counters["xds.bytes"] += message.ByteSize()
            await self.in_time(stream.send_message(message), "a response is not read")

    async def due(self, client: Client, wake: asyncio.Event) -> AsyncIterator[Update]:
        """One look after the other; ends where another stream has taken the client's name."""
        while client.name:
            wake.clear()
            now = self.awake()
            self.write_routes.follow(client)
            step = client.look(now, self.turn, self.marks, self.numbers, self.may_write(client, now))
            self.report(client, step)
            for update in step.updates:
                yield update
            if not step.updates:
                try:
                    async with asyncio.timeout(LOOK_S if client.state != "reads" else 20 * LOOK_S):
                        await wake.wait()
                except TimeoutError:
                    pass
        raise GRPCError(Status.ABORTED, "another stream of this node")

    def may_write(self, client: Client, now: int) -> bool:
        """Whether a client may go on writing, or be granted writing where it only reads."""
        return self.fence(now) and (client.state != "reads" or self.write_routes.may_grant(client))

    def report(self, client: Client, step: Step) -> None:
        """A client's news for the module."""
        if step.note:
            self.counters["xds.lapsed"] += 1
            self.log.rate_limited("client may not write", client=client.name, why=step.note)
        if step.left is not None:
            until = self.now() + step.left_after_us + self.terms.lease_us
            self.parted.append((until, step.left_proved))
            left = interface.ProxyLeft(step.left)
            if step.left_after_us:
                asyncio.get_running_loop().call_later(step.left_after_us / 1e6, self.module.tell, left)
            else:
                self.module.tell(left)
        if step.joined is not None:
            self.module.tell(interface.ProxyJoined(step.joined, True, client.zone, None))
        for number, mark, took_us in step.answered:
            self.module.tell(interface.BarrierAck(number, mark, took_us))

    def take(self, client: Client, message: Message) -> None:
        """A client's message: an answer to the last response of its kind, and what it wants."""
        kind = codec.KIND_OF.get(message.type_url)
        if kind is None:
            raise GRPCError(Status.INVALID_ARGUMENT, f"no resources of type {message.type_url[:200]!r}")
        known = kind in client.watches
        if kind == "rds":
            self.write_routes.watch(client)
        watch = client.watch(kind)
        if message.response_nonce:
            refused = message.HasField("error_detail")
            heard = watch.answered(message.response_nonce, refused, self.awake())
            self.counters[f"xds.{heard.what}"] += 1
            if refused and heard.what == "refused":
                self.log.rate_limited(
                    "client turns a version down",
                    client=client.name,
                    kind=kind,
                    why=codec.detail(message.error_detail),
                    names=",".join(heard.names[:5]),
                )
            if heard.what == "stale" and client.whole:
                return  # by the specification a message with an older nonce is passed over whole
        if isinstance(message, discovery_pb2.DiscoveryRequest):
            names = set(message.resource_names) - {"*"}
            everything = (
                kind in ("cds", "lds") and not message.resource_names
            ) or "*" in message.resource_names
            if not known:
                watch.begin(None if everything else names, {})
            elif not everything:
                watch.only(names)
        elif not known:
            names = set(message.resource_names_subscribe) - {"*"}
            everything = (
                kind in ("cds", "lds") and not message.resource_names_subscribe
            ) or "*" in message.resource_names_subscribe
            watch.begin(None if everything else names, dict(message.initial_resource_versions))
        else:
            watch.want(message.resource_names_subscribe, message.resource_names_unsubscribe)
        if client.names() > self.terms.names:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, f"more than {self.terms.names} names")

    async def loads(self, stream: Stream[Any, Any]) -> None:
        """A load report's stream: every report interval what was met and what came."""
        if self.reporters >= self.terms.clients:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many load reports")
        self.reporters += 1
        zone = ""
        try:
            while (told := await stream.recv_message()) is not None:
                if told.HasField("node"):
                    zone = told.node.locality.zone
                    answer = lrs_pb2.LoadStatsResponse(
                        send_all_clusters=True, report_endpoint_granularity=True
                    )
                    answer.load_reporting_interval.CopyFrom(
                        codec.duration(self.deployment.report_interval_us or 1_000_000)
                    )
                    await stream.send_message(answer)
                nodes = {address.address: node for node, address in self.addresses.items()}
                events = codec.loads(told, zone, nodes, self.deployment.slices, self.classes)
                self.counters["xds.reports"] += 1
                for event in events:
                    self.module.tell(event)
        except (StreamTerminatedError, h2.exceptions.ProtocolError, ConnectionError):
            self.counters["xds.broken"] += 1
        finally:
            self.reporters -= 1


def tls_of(source: Source) -> ssl.SSLContext | None:
    """Keys of the file, or none; what can't be read is named by its field."""
    told = source.told.xds
    if not told.HasField("tls"):
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["h2"])
    load_keys(context, source)
    return context


def load_keys(context: ssl.SSLContext, source: Source) -> None:
    """Into a context that may be in use: streams that stand keep theirs, new ones get these."""
    folder, tls = Path(source.path).parent, source.told.xds.tls
    field = "xds.tls.certificate_file"
    try:
        context.load_cert_chain(folder / tls.certificate_file, folder / tls.key_file)
        if tls.client_ca_file:
            field = "xds.tls.client_ca_file"
            context.load_verify_locations(folder / tls.client_ca_file)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as error:
        raise BadFile([source.at(field, f"{type(error).__name__} {error}")]) from None


def desk_for(
    source: Source,
    module: Module,
    now: Callable[[], int],
    counters: Counters,
    deployment: interface.Deployment,
    seed: int,
) -> Desk:
    """The front as the operator file sets it; its clients' numbers follow those of the deployment's
    proxies."""
    told = source.told.xds
    usual = Terms(deployment.lease_us)
    terms = usual._replace(
        late_us=told.late_ms * 1000 if told.HasField("late_ms") else usual.late_us,
        clients=told.clients if told.HasField("clients") else usual.clients,
    )
    per_s = told.new_per_s if told.HasField("new_per_s") else 200.0
    doorway = Doorway(terms.clients, per_s, told.burst if told.HasField("burst") else 100, seed)
    return Desk(
        module, now, deployment, terms, doorway, deployment.proxies, counters, told.listen, tls_of(source)
    )
