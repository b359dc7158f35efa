"""How the memory of a process is divided, by its operator file.

Where the file has no `limits.memory_mb`, it follows from the connections that the file allows.
"""

from __future__ import annotations

from lapispass.core.memory_budget import MemoryPlan, needed_memory_mb, plan_memory
from lapispass.operator.operator_pb2 import Operator

GATE_BASE_MB = 48  # of a gate before it has connections
GATE_CONNECTION_BYTES = 16 << 10  # of one that is held, with its head for moves to other nodes
GATE_CONNECTIONS = 20_000  # by default
XDS_BASE_MB = 56  # of a controller without the platform, before it has clients
XDS_CLIENT_BYTES = 64 << 10  # of one with its HTTP/2 connection, before its subscriptions
XDS_SLICE_BYTES = 512  # of a client's subscription to a slice
XDS_CLIENTS = 5_000  # by default
XDS_SPARE_CONNECTIONS = 64  # beyond one for each client, for those that change
XDS_LEAST_CONNECTIONS = 32
DEFAULT_MEMORY_MB = 256  # at least, where the file does not say


def gate_memory(settings: Operator) -> MemoryPlan:
    """The division for a gate."""
    connections = settings.gate.connections if settings.gate.HasField("connections") else GATE_CONNECTIONS
    return _plan(settings, GATE_BASE_MB, connections, GATE_CONNECTION_BYTES)


def xds_memory(settings: Operator) -> MemoryPlan:
    """The division for a controller without the platform, whose clients are those of xDS."""
    clients = settings.xds.clients if settings.xds.HasField("clients") else XDS_CLIENTS
    client_bytes = XDS_CLIENT_BYTES + XDS_SLICE_BYTES * settings.alone.slices
    return _plan(settings, XDS_BASE_MB, clients + XDS_SPARE_CONNECTIONS, client_bytes)


def xds_connections_beside(memory_mb: int, slices: int) -> int:
    """The xDS connections of a controller of the platform: they get an eighth of its memory."""
    possible = (memory_mb << 20) // 8 // (XDS_CLIENT_BYTES + XDS_SLICE_BYTES * slices)
    return max(XDS_LEAST_CONNECTIONS, min(XDS_CLIENTS + XDS_SPARE_CONNECTIONS, possible))


def _plan(settings: Operator, base_mb: int, connections: int, connection_bytes: int) -> MemoryPlan:
    needed = needed_memory_mb(base_mb, connections, connection_bytes)
    memory_mb = (
        settings.limits.memory_mb if settings.limits.HasField("memory_mb") else max(DEFAULT_MEMORY_MB, needed)
    )
    return plan_memory(memory_mb, base_mb, connections, connection_bytes)
