"""Serves the xDS clients of a controller: one task per stream, and resources made from the turns."""

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
from lapispass.core.clients import TTL_FEATURE, Client, ClientLimits, ClientStep, ConnectLimiter, ProxyNumbers
from lapispass.core.memory_budget import MemoryBudget
from lapispass.core.table_snapshot import TableSnapshot
from lapispass.core.versions import ResourceCache, Update
from lapispass.net import log
from lapispass.net.counters import Counters
from lapispass.net.http import within
from lapispass.net.log import PartLogger
from lapispass.operator.read import BadFile, Source
from lapispass.xds import codec
from lapispass.xds.bounded_protocol import MessageReader
from lapispass.xds.closing_server import MAX_CONNECTIONS, ClosingServer
from lapispass.xds.write_routes import WriteRoutes

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
CHECK_INTERVAL_S = 0.05
MAX_GAP_US = 300_000  # a longer time between two checks counts as a pause of this process
MAX_NODE_ID_LENGTH = 256
MAX_RENEWAL_UNACKED_US = 250_000  # where the store may give slices to other controllers
STREAM_TIMEOUT_S = 10.0
PROCESS_PAUSE_US = 100_000  # a timer that fires later than this shows that the process was paused
DEFAULT_CLIENT_BYTES = 64 << 20  # held for all clients together, where nothing says otherwise
T = TypeVar("T")
Message = Any  # a DiscoveryRequest or a DeltaDiscoveryRequest; the types are generated


class EventSink(Protocol):
    """Runs the controller's turns, and takes the events for them."""

    def deliver(self, event: interface.Event) -> None:
        """Adds an event to the next turn."""


class XdsServer:
    """The xDS server of one controller, with the state of all its client streams."""

    def __init__(
        self,
        event_sink: EventSink,
        now: Callable[[], int],
        deployment: interface.Deployment,
        limits: ClientLimits,
        connect_limiter: ConnectLimiter,
        first_number: int,
        counters: Counters,
        listen: str,
        tls: ssl.SSLContext | None = None,
        memory: MemoryBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """`memory`: the budget of the process, where it has other listeners, too."""
        self.event_sink, self.now, self.deployment, self.limits = event_sink, now, deployment, limits
        self.connect_limiter, self.counters, self.tls = connect_limiter, counters, tls
        self.listen, self.address = listen, ""
        self.memory = memory or MemoryBudget(DEFAULT_CLIENT_BYTES)
        self.max_connections = max_connections
        self.log = PartLogger("xds", 1_000_000)
        self.cache = ResourceCache()
        self.snapshot = TableSnapshot(
            deployment.slices, deployment.classes, deployment.admission_mode == "share"
        )
        resources.put_static_resources(
            self.cache, deployment.slices, max(1, deployment.default_retry), limits.ttl_us
        )
        self.write_routes = WriteRoutes(self.cache)
        self.proxy_numbers = ProxyNumbers(first_number, deployment.lease_us)
        self.clients: dict[str, tuple[Client, asyncio.Event]] = {}
        self.probation: dict[str, int] = {}  # until when a client that lapsed may only read, by its name
        self.addresses: dict[str, tables.Address] = {}
        self.turn = 0
        self.barriers: deque[tuple[int, int, int]] = deque(maxlen=4096)
        reads = next((kind.name for kind in deployment.classes if not kind.writes), "")
        self.classes = reads, next((kind.name for kind in deployment.classes if kind.writes), reads)
        self.load_streams = 0
        # Whether any client may write at the given time; replaced where slices may go to other controllers.
        self.may_grant_writes: Callable[[int], bool] = lambda now: True
        self.checked_at = now()
        # Of clients that left: until when they may still write, and the last turn that they acknowledged.
        self.departed: list[tuple[int, int]] = []
        self.keepalive_s = 10.0

    # following the controller's turns

    def turn_taken(self, events: Sequence[interface.Event], orders: Sequence[interface.Order]) -> None:
        """Publishes the changes of a turn."""
        changes, barrier = self.snapshot.apply_turn(events, orders, self.addresses)
        self.publish(self.snapshot.tables, changes, barrier)

    def publish(self, current: tables.Tables, changes: list[tables.TableChange], barrier: int | None) -> None:
        """Publishes changes that `current` contains already, and a barrier behind them; wakes all streams."""
        if not changes and barrier is None:
            return
        self.turn += 1
        self.counters["xds.versions"] += resources.update_assignments(self.cache, current, changes, self.turn)
        if barrier is not None:
            self.barriers.append((self.turn, barrier, self.now()))
        self.wake_streams()

    def acked_turn(self, now: int) -> int:
        """The last turn that every client that may write has acknowledged; reported to other controllers.

        Clients that left count for a lease, with the turn that they had acknowledged.
        """
        self.departed = [(until, turn) for until, turn in self.departed if until > now]
        connected = [
            min(self.turn, client.watches["eds"].acked_turn)
            for client, _ in self.clients.values()
            if client.proxy_number is not None and "eds" in client.watches
        ]
        return min([self.turn, *connected, *(turn for _, turn in self.departed)])

    def current_time(self) -> int:
        """The current time. Detects pauses of this process, which would look like silence of the clients."""
        now = self.now()
        gap, self.checked_at = now - self.checked_at, now
        if gap > MAX_GAP_US:
            self.counters["xds.stood_still"] += 1
            self.log.rate_limited("process paused", for_us=gap)
            for client, _ in self.clients.values():
                client.exclude_pause(gap)
        return now

    async def check_regularly(self) -> None:
        """Calls `current_time` regularly, so that a long gap between two calls means a pause.

        Wakes all streams when writes may be granted again, or no longer.
        """
        granted_writes = False
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            log.flush_pending()
            grants_writes = self.may_grant_writes(self.current_time())
            if grants_writes != granted_writes:
                granted_writes = grants_writes
                self.wake_streams()

    def wake_streams(self) -> None:
        """Has every stream look for what is due."""
        for _, wake_up in self.clients.values():
            wake_up.set()

    # serving

    def __mapping__(self) -> dict[str, Handler]:
        """The handlers of the gRPC methods, for grpclib."""
        stream = Cardinality.STREAM_STREAM
        return {
            ADS + "StreamAggregatedResources": Handler(
                self.sotw, stream, discovery_pb2.DiscoveryRequest, discovery_pb2.DiscoveryResponse
            ),
            ADS + "DeltaAggregatedResources": Handler(
                self.delta, stream, discovery_pb2.DeltaDiscoveryRequest, discovery_pb2.DeltaDiscoveryResponse
            ),
            LRS: Handler(
                self.receive_load_reports, stream, lrs_pb2.LoadStatsRequest, lrs_pb2.LoadStatsResponse
            ),
        }

    async def run(self) -> None:
        """Listens until it is cancelled."""
        # Connections on which a ping is not answered are closed, so that dead ones do not accumulate.
        pings = Configuration(
            _keepalive_time=self.keepalive_s,
            _keepalive_timeout=self.keepalive_s / 2,
            _keepalive_permit_without_calls=True,
            _http2_max_pings_without_data=0,
        )
        server = ClosingServer([self], config=pings, max_connections=self.max_connections)
        self.address = await server.listen(self.listen, self.tls, self.log, self.counters)
        self.log.info("listening for xDS clients", address=self.address, tls=self.tls is not None)
        checking = asyncio.get_running_loop().create_task(self.check_regularly())
        try:
            await server.wait_closed()
        finally:
            checking.cancel()
            await server.end()

    async def sotw(self, stream: Stream[Any, Any]) -> None:
        """Serves a stream of the state-of-the-world protocol."""
        await self.serve(stream, True, MessageReader(stream, discovery_pb2.DiscoveryRequest, self.memory))

    async def delta(self, stream: Stream[Any, Any]) -> None:
        """Serves a stream of the incremental protocol."""
        messages = MessageReader(stream, discovery_pb2.DeltaDiscoveryRequest, self.memory)
        await self.serve(stream, False, messages)

    async def serve(self, stream: Stream[Any, Any], is_sotw: bool, messages: MessageReader) -> None:
        """Serves a client's stream from its first message to its end."""
        self.counters["xds.streams"] += 1
        if wait := self.connect_limiter.delay_us(self.now(), len(self.clients)):
            self.counters["xds.refused"] += 1
            raise GRPCError(Status.UNAVAILABLE, f"too many clients at once; retry in {wait // 1000} ms")
        first = await self.with_timeout(messages.read(), "no first message received")
        if first is None:
            return
        name = first.node.id
        if not 0 < len(name) <= MAX_NODE_ID_LENGTH:
            raise GRPCError(Status.INVALID_ARGUMENT, "node.id is missing or too long")
        wake_up = asyncio.Event()
        has_ttl = TTL_FEATURE in first.node.client_features
        if previous := self.clients.get(name):
            previous[0].name = ""  # tells the previous stream of this client to end
            previous[1].set()
        client = Client(
            name,
            first.node.locality.zone,
            is_sotw,
            has_ttl,
            self.cache,
            self.limits,
            self.now(),
            self.probation.pop(name, 0),
        )
        self.clients[name] = client, wake_up
        self.counters["xds.joined"] += 1
        self.log.rate_limited(
            "client joined", client=name, whole=is_sotw, writes="reads only" if not has_ttl else "by lease"
        )
        sending = asyncio.get_running_loop().create_task(self.send_updates(stream, client, wake_up))
        reading: asyncio.Future[Any] | None = None
        try:
            self.handle_message(client, first)
            wake_up.set()
            while True:
                reading = asyncio.ensure_future(messages.read())
                await asyncio.wait({reading, sending}, return_when=asyncio.FIRST_COMPLETED)
                if sending.done():
                    sending.result()
                    return
                message = reading.result()
                if message is None:
                    return
                self.handle_message(client, message)
                wake_up.set()
        except (StreamTerminatedError, h2.exceptions.ProtocolError, ConnectionError):
            self.counters["xds.broken"] += 1
        finally:
            sending.cancel()
            if reading is not None:
                reading.cancel()
            self.remove_client(name, client)
            await asyncio.gather(sending, *([reading] if reading else []), return_exceptions=True)

    async def with_timeout(self, work: Awaitable[T], what_is_late: str) -> T:
        """The result of the work; the stream ends if it takes longer than `STREAM_TIMEOUT_S`.

        After a pause of this process, what has arrived meanwhile is read before the time-out applies.
        """
        try:
            return await within(int(STREAM_TIMEOUT_S * 1e6), work, PROCESS_PAUSE_US)
        except TimeoutError:
            self.counters["xds.stuck"] += 1
            raise GRPCError(
                Status.DEADLINE_EXCEEDED, f"{what_is_late} within {STREAM_TIMEOUT_S:g} s"
            ) from None

    def remove_client(self, name: str, client: Client) -> None:
        """Handles the end of a stream, whichever side ended it."""
        if self.clients.get(name, (None,))[0] is client:
            del self.clients[name]
            if client.probation_until > self.now():
                self.probation[name] = client.probation_until
                while len(self.probation) > self.limits.max_clients:
                    self.probation.pop(next(iter(self.probation)))
        self.report_step(client, client.end(self.now(), self.proxy_numbers))
        self.counters["xds.left"] += 1

    async def send_updates(self, stream: Stream[Any, Any], client: Client, wake_up: asyncio.Event) -> None:
        """Sends responses whenever something has changed, and renewals in time."""
        async for update in self.due_updates(client, wake_up):
            message = codec.sotw_response(update) if client.is_sotw else codec.delta_response(update)
            self.counters["xds.responses"] += 1
            self.counters["xds.resources"] += len(update.resources)
            self.counters["xds.bytes"] += message.ByteSize()
            await self.with_timeout(stream.send_message(message), "a response was not read")

    async def due_updates(self, client: Client, wake_up: asyncio.Event) -> AsyncIterator[Update]:
        """Yields responses as they become due, until another stream of the same client replaces this one."""
        while client.name:
            wake_up.clear()
            now = self.current_time()
            self.write_routes.update_routes(client)
            step = client.advance(
                now, self.turn, self.barriers, self.proxy_numbers, self.may_write(client, now)
            )
            self.report_step(client, step)
            for update in step.updates:
                yield update
            if not step.updates:
                try:
                    async with asyncio.timeout(
                        CHECK_INTERVAL_S if client.state != "reads" else 20 * CHECK_INTERVAL_S
                    ):
                        await wake_up.wait()
                except TimeoutError:
                    pass
        raise GRPCError(Status.ABORTED, "replaced by another stream of the same node.id")

    def may_write(self, client: Client, now: int) -> bool:
        """Whether a client may keep its permission to write, or be granted it."""
        return self.may_grant_writes(now) and (client.state != "reads" or self.write_routes.may_grant(client))

    def report_step(self, client: Client, step: ClientStep) -> None:
        """Passes the events of a client's step on to the controller."""
        if step.lapse_reason:
            self.counters["xds.lapsed"] += 1
            self.log.rate_limited("client may no longer write", client=client.name, why=step.lapse_reason)
        if step.left is not None:
            until = self.now() + step.left_delay_us + self.limits.lease_us
            self.departed.append((until, step.left_acked_turn))
            left = interface.ProxyLeft(step.left)
            if step.left_delay_us:
                asyncio.get_running_loop().call_later(step.left_delay_us / 1e6, self.event_sink.deliver, left)
            else:
                self.event_sink.deliver(left)
        if step.joined is not None:
            self.event_sink.deliver(interface.ProxyJoined(step.joined, True, client.zone, None))
        for number, barrier, took_us in step.acked_barriers:
            self.event_sink.deliver(interface.BarrierAck(number, barrier, took_us))

    def handle_message(self, client: Client, message: Message) -> None:
        """Handles a client's message: an answer to the last response of a kind, and its subscription."""
        kind = codec.KIND_BY_TYPE_URL.get(message.type_url)
        if kind is None:
            raise GRPCError(Status.INVALID_ARGUMENT, f"unknown resource type {message.type_url[:200]!r}")
        is_known = kind in client.watches
        if kind == "rds":
            self.write_routes.add_watch(client)
        watch = client.watch(kind)
        if message.response_nonce:
            is_nack = message.HasField("error_detail")
            result = watch.handle_answer(message.response_nonce, is_nack, self.current_time())
            self.counters[f"xds.{result.outcome}"] += 1
            if is_nack and result.outcome == "refused":
                self.log.rate_limited(
                    "client rejected a response",
                    client=client.name,
                    kind=kind,
                    why=codec.error_text(message.error_detail),
                    names=",".join(result.names[:5]),
                )
            if result.outcome == "stale" and client.is_sotw:
                return  # xDS specifies that a request with an outdated nonce is ignored
        if isinstance(message, discovery_pb2.DiscoveryRequest):
            names = set(message.resource_names) - {"*"}
            wants_all = (
                kind in ("cds", "lds") and not message.resource_names
            ) or "*" in message.resource_names
            if not is_known:
                watch.begin(None if wants_all else names, {})
            elif not wants_all:
                watch.replace_subscription(names)
        elif not is_known:
            names = set(message.resource_names_subscribe) - {"*"}
            wants_all = (
                kind in ("cds", "lds") and not message.resource_names_subscribe
            ) or "*" in message.resource_names_subscribe
            watch.begin(None if wants_all else names, dict(message.initial_resource_versions))
        else:
            watch.change_subscription(message.resource_names_subscribe, message.resource_names_unsubscribe)
        if client.subscribed_names() > self.limits.max_names:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED, f"subscribed to more than {self.limits.max_names} names"
            )

    async def receive_load_reports(self, stream: Stream[Any, Any]) -> None:
        """Serves a stream of load reports, and passes each report on as events."""
        if self.load_streams >= self.limits.max_clients:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many streams of load reports")
        self.load_streams += 1
        zone = ""
        messages = MessageReader(stream, lrs_pb2.LoadStatsRequest, self.memory)
        try:
            while (report := await messages.read()) is not None:
                if report.HasField("node"):
                    zone = report.node.locality.zone
                    answer = lrs_pb2.LoadStatsResponse(
                        send_all_clusters=True, report_endpoint_granularity=True
                    )
                    answer.load_reporting_interval.CopyFrom(
                        codec.duration(self.deployment.report_interval_us or 1_000_000)
                    )
                    await stream.send_message(answer)
                nodes = {address.address: node for node, address in self.addresses.items()}
                events = codec.load_events(report, zone, nodes, self.deployment.slices, self.classes)
                self.counters["xds.reports"] += 1
                for event in events:
                    self.event_sink.deliver(event)
        except (StreamTerminatedError, h2.exceptions.ProtocolError, ConnectionError):
            self.counters["xds.broken"] += 1
        finally:
            self.load_streams -= 1


def tls_context(source: Source) -> ssl.SSLContext | None:
    """The TLS settings of the operator file, or None; a file that cannot be read is reported by its field."""
    settings = source.settings.xds
    if not settings.HasField("tls"):
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(["h2"])
    load_tls_keys(context, source)
    return context


def load_tls_keys(context: ssl.SSLContext, source: Source) -> None:
    """Loads certificate and keys into a context, which may be in use.

    Open connections keep their keys; new ones use the loaded keys.
    """
    folder, tls = Path(source.path).parent, source.settings.xds.tls
    field = "xds.tls.certificate_file"
    try:
        context.load_cert_chain(folder / tls.certificate_file, folder / tls.key_file)
        if tls.client_ca_file:
            field = "xds.tls.client_ca_file"
            context.load_verify_locations(folder / tls.client_ca_file)
            context.verify_mode = ssl.CERT_REQUIRED
    except (OSError, ssl.SSLError) as error:
        raise BadFile([source.at(field, f"{type(error).__name__} {error}")]) from None


def create_xds_server(
    source: Source,
    event_sink: EventSink,
    now: Callable[[], int],
    counters: Counters,
    deployment: interface.Deployment,
    seed: int,
    client_lease_us: int | None = None,
    memory: MemoryBudget | None = None,
    max_connections: int = MAX_CONNECTIONS,
) -> XdsServer:
    """The xDS server that the operator file describes.

    The proxy numbers of its clients follow those of the deployment's proxies. `client_lease_us` is the lease
    that clients get, where the store may give slices to other controllers.
    """
    settings = source.settings.xds
    defaults = ClientLimits(deployment.lease_us if client_lease_us is None else client_lease_us)
    limits = defaults._replace(
        ack_timeout_us=settings.late_ms * 1000 if settings.HasField("late_ms") else defaults.ack_timeout_us,
        max_clients=settings.clients if settings.HasField("clients") else defaults.max_clients,
    )
    if client_lease_us is not None:
        limits = limits._replace(max_renewal_unacked_us=MAX_RENEWAL_UNACKED_US)
    per_s = settings.new_per_s if settings.HasField("new_per_s") else 200.0
    connect_limiter = ConnectLimiter(
        limits.max_clients, per_s, settings.burst if settings.HasField("burst") else 100, seed
    )
    return XdsServer(
        event_sink,
        now,
        deployment,
        limits,
        connect_limiter,
        deployment.proxies,
        counters,
        settings.listen,
        tls_context(source),
        memory,
        max_connections,
    )
