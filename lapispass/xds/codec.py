"""Encodes resources as xDS messages and decodes load reports.

The messages are the public v3 types of Envoy's data plane API, from the package `xds-protos`.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2, load_report_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from envoy.type.matcher.v3 import string_pb2
from google.protobuf import any_pb2, duration_pb2, wrappers_pb2
from google.rpc import status_pb2

from lapispass import interface
from lapispass.core.resources import Assignment, Cluster, Listener, Routes
from lapispass.core.versions import Update, VersionedResource

PREFIX = "type.googleapis.com/"
TYPE_URLS = {
    "cds": PREFIX + "envoy.config.cluster.v3.Cluster",
    "eds": PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment",
    "lds": PREFIX + "envoy.config.listener.v3.Listener",
    "rds": PREFIX + "envoy.config.route.v3.RouteConfiguration",
}
KIND_BY_TYPE_URL = {url: kind for kind, url in TYPE_URLS.items()}
SLICE_HEADER = "x-slice"
MAX_REPORTED = 1 << 40  # counts and microseconds (12 days) of a load report; a row beyond it is malformed


def ads_config_source() -> config_source_pb2.ConfigSource:
    """Tells the client to request a referenced resource over the same aggregated stream."""
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
    )


@lru_cache(maxsize=65_536)
def packed(body: Any) -> any_pb2.Any:
    """A resource's message, wrapped in `Any`; encoded once for all clients."""
    wrapped = any_pb2.Any()
    wrapped.Pack(message(body))
    return wrapped


def message(body: Any) -> Any:
    """The xDS message of a resource from `core/resources.py`."""
    match body:
        case Cluster(name, timeout_us):
            return cluster_pb2.Cluster(
                name=name,
                type=cluster_pb2.Cluster.EDS,
                eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=ads_config_source()),
                connect_timeout=duration(timeout_us),
                lb_policy=cluster_pb2.Cluster.ROUND_ROBIN,
            )
        case Assignment():
            return assignment(body)
        case Routes():
            return routes(body)
        case Listener(name, target, _):
            manager = http_connection_manager_pb2.HttpConnectionManager(
                stat_prefix=name,
                rds=http_connection_manager_pb2.Rds(
                    config_source=ads_config_source(), route_config_name=target
                ),
            )
            inner = any_pb2.Any()
            inner.Pack(manager)
            return listener_pb2.Listener(
                name=name, api_listener=api_listener_pb2.ApiListener(api_listener=inner)
            )
    raise TypeError(f"not a resource: {body!r}")


def duration(us: int) -> duration_pb2.Duration:
    return duration_pb2.Duration(seconds=us // 1_000_000, nanos=us % 1_000_000 * 1000)


def duration_us(value: duration_pb2.Duration) -> int:
    return int(value.seconds) * 1_000_000 + int(value.nanos) // 1000


def assignment(body: Assignment) -> endpoint_pb2.ClusterLoadAssignment:
    """The endpoints of a slice; requests that are not admitted are dropped in the category 'share'."""
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name=body.name)
    for node, address, zone in body.endpoints:
        host, _, port = address.rpartition(":")
        locality = made.endpoints.add(
            locality=base_pb2.Locality(zone=zone), load_balancing_weight=wrappers_pb2.UInt32Value(value=1)
        )
        locality.lb_endpoints.add(
            endpoint=endpoint_components_pb2.Endpoint(
                hostname=node,
                address=address_pb2.Address(
                    socket_address=address_pb2.SocketAddress(address=host, port_value=int(port))
                ),
            ),
            health_status="HEALTHY",
        )
    if body.drop_per_million:
        drop = made.policy.drop_overloads.add(category="share")
        drop.drop_percentage.numerator = body.drop_per_million
        drop.drop_percentage.denominator = 2  # MILLION
    return made


def routes(body: Routes) -> route_pb2.RouteConfiguration:
    """One virtual host, whose routes match the slice header.

    Only reads may have a retry policy: by rule 2 a write is sent once.
    """
    made = route_pb2.RouteConfiguration(name=body.name)
    host = made.virtual_hosts.add(name=body.name, domains=["*"])
    for number in range(body.slices):
        action = route_components_pb2.RouteAction(cluster=f"{number}.{body.suffix}")
        if body.tries > 1 and body.suffix != "w":
            # Retries only requests that no server has begun to process.
            action.retry_policy.retry_on = "connect-failure,refused-stream"
            action.retry_policy.num_retries.value = body.tries - 1
        host.routes.add(
            match=route_components_pb2.RouteMatch(
                prefix="",
                headers=[
                    route_components_pb2.HeaderMatcher(
                        name=SLICE_HEADER, string_match=string_pb2.StringMatcher(exact=str(number))
                    )
                ],
            ),
            route=action,
        )
    return made


def ttl_us(item: VersionedResource) -> int:
    return item.body.ttl_us if isinstance(item.body, Listener) else 0


def wrapped_resource(name: str, item: VersionedResource, is_renewal: bool) -> discovery_pb2.Resource:
    """A resource in its wrapper, with its time to live; a renewal has no content."""
    made = discovery_pb2.Resource(name=name, version=item.version)
    if not is_renewal or not ttl_us(item):
        made.resource.CopyFrom(packed(item.body))
    if ttl := ttl_us(item):
        made.ttl.CopyFrom(duration(ttl))
    return made


def delta_response(update: Update) -> discovery_pb2.DeltaDiscoveryResponse:
    return discovery_pb2.DeltaDiscoveryResponse(
        type_url=TYPE_URLS[update.kind],
        nonce=update.nonce,
        resources=[
            wrapped_resource(name, item, update.is_renewal) for name, item in update.resources.items()
        ],
        removed_resources=list(update.removed),
    )


def sotw_response(update: Update) -> discovery_pb2.DiscoveryResponse:
    """A state-of-the-world response; only resources with a time to live are sent in a wrapper."""
    made = discovery_pb2.DiscoveryResponse(
        type_url=TYPE_URLS[update.kind], nonce=update.nonce, version_info=update.nonce
    )
    for name, item in update.resources.items():
        if ttl_us(item):
            made.resources.add().Pack(wrapped_resource(name, item, update.is_renewal))
        else:
            made.resources.append(packed(item.body))
    return made


def error_text(status: status_pb2.Status) -> str:
    """Why a client rejected a response, on one line of at most 300 characters."""
    return " ".join(status.message.split())[:300]


def reported_mean_us(endpoint_stats: load_report_pb2.UpstreamEndpointStats) -> int | None:
    """The mean time of an endpoint's successful requests in us, 0 if none is reported; None if it is not a
    number or out of bounds."""
    total_ms = sum(metric.total_metric_value for metric in endpoint_stats.load_metric_stats
                   if metric.metric_name == "ms")  # fmt: skip
    mean_us = 1000 * total_ms / max(1, int(endpoint_stats.total_successful_requests))
    return max(0, int(mean_us)) if abs(mean_us) < MAX_REPORTED else None


def load_events(
    report: lrs_pb2.LoadStatsRequest, zone: str, nodes: dict[str, str], slices: int, classes: tuple[str, str]
) -> list[interface.Event]:
    """The events of a load report: results by endpoint, and requests by slice.

    Rows that are malformed or about unknown clusters or addresses are left out. `nodes` finds a node by its
    address. `classes` are the names of the class of reads and the class of writes.
    """
    events: list[interface.Event] = []
    for stats in report.cluster_stats:
        interval_us = duration_us(stats.load_report_interval)
        slice_number, _, suffix = stats.cluster_name.partition(".")
        if (
            not slice_number.isdecimal()
            or int(slice_number) >= slices
            or suffix not in ("r", "w")
            or not 0 < interval_us < MAX_REPORTED
        ):
            continue
        requests = failed_requests = 0
        for locality in stats.upstream_locality_stats:
            succeeded, failed = int(locality.total_successful_requests), int(locality.total_error_requests)
            requests, failed_requests = requests + succeeded + failed, failed_requests + failed
            for endpoint_stats in locality.upstream_endpoint_stats:
                socket_address = endpoint_stats.address.socket_address
                node = nodes.get(f"{socket_address.address}:{socket_address.port_value}")
                tries = int(endpoint_stats.total_successful_requests) + int(
                    endpoint_stats.total_error_requests
                )
                mean_us = reported_mean_us(endpoint_stats)
                if node is None or mean_us is None or not 0 < tries < MAX_REPORTED:
                    continue
                events.append(
                    interface.ServerReport(
                        node,
                        zone,
                        int(endpoint_stats.total_error_requests),
                        tries,
                        mean_us,
                        interval_us,
                        None,
                    )
                )
        dropped = int(stats.total_dropped_requests)
        if 0 < requests + dropped < MAX_REPORTED:
            events.append(
                interface.RequestReport(
                    int(slice_number),
                    classes[suffix == "w"],
                    requests + dropped,
                    failed_requests,
                    interval_us,
                )
            )
    return events
