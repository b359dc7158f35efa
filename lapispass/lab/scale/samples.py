"""What is read from outside at one moment, and what it cost between two of them. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lapispass.lab.scale.system import Usage
from lapispass.standins.http import Traffic
from lapispass.standins.placeholder import Pace
from lapispass.standins.servers import Probed

HOLLOW = "hollow"  # the client's name of all hollow controllers together


@dataclass(frozen=True, slots=True)
class Sample:
    """Sums since the start of the run."""

    at_s: float
    controllers: dict[str, Usage]
    registry: dict[str, Traffic]  # by client
    relay: dict[str, Traffic]
    orders: dict[str, dict[str, int]]
    reports: dict[str, Traffic]  # that collectors wrote, by controller
    real_probes: Probed
    hollow_probes: Probed
    servers_probed: int  # by real controllers, each counted once


@dataclass(frozen=True, slots=True)
class Rates:
    """What passed between a controller and the others, each second. Bytes are both ways together."""

    registry_calls: float = 0.0
    registry_bytes: float = 0.0
    relay_calls: float = 0.0
    relay_bytes: float = 0.0
    orders: float = 0.0
    marks: float = 0.0
    news: float = 0.0
    reports: float = 0.0
    report_bytes: float = 0.0
    probes: float = 0.0
    probe_bytes: float = 0.0

    @property
    def all_bytes(self) -> float:
        return self.registry_bytes + self.relay_bytes + self.report_bytes + self.probe_bytes


@dataclass(frozen=True, slots=True)
class Cost:
    """A real controller over a phase. Probes are the mean of all real ones."""

    name: str
    cpu_percent: float  # of one core
    memory_mb: float  # the most, since its start
    bytes_per_s: float  # for control, both ways together
    rates: Rates


def grown(before: Mapping[str, Traffic], after: Mapping[str, Traffic], client: str) -> Traffic:
    """What passed with a client between two moments."""
    old, new = before.get(client, Traffic()), after.get(client, Traffic())
    return Traffic(**{name: value - getattr(old, name) for name, value in vars(new).items()})


def rates(before: Sample, after: Sample, client: str, reals: int) -> Rates:
    """Of one client; of all hollow ones together, where that is the client."""
    seconds = after.at_s - before.at_s
    registry = grown(before.registry, after.registry, client)
    relay = grown(before.relay, after.relay, client)
    reports = grown(before.reports, after.reports, client)
    old, new = before.orders.get(client, {}), after.orders.get(client, {})
    if client == HOLLOW:
        old_probes, new_probes, share = before.hollow_probes, after.hollow_probes, 1
    else:
        old_probes, new_probes, share = before.real_probes, after.real_probes, reals
    probe_bytes = (
        new_probes.bytes_in + new_probes.bytes_out - old_probes.bytes_in - old_probes.bytes_out
    ) / share
    return Rates(
        registry_calls=registry.calls / seconds,
        registry_bytes=(registry.bytes_in + registry.bytes_out) / seconds,
        relay_calls=relay.calls / seconds,
        relay_bytes=(relay.bytes_in + relay.bytes_out) / seconds,
        orders=(sum(new.values()) - sum(old.values())) / seconds,
        marks=(new.get("SYNC", 0) - old.get("SYNC", 0)) / seconds,
        news=(relay.messages_out - relay.calls) / seconds,
        reports=reports.messages_out / seconds,
        report_bytes=reports.bytes_out / seconds,
        probes=(new_probes.probes - old_probes.probes) / share / seconds,
        probe_bytes=probe_bytes / seconds,
    )


def mean_pace(before: Sample, after: Sample) -> Pace:
    """What a real controller did between two moments, in the mean of all of them."""
    each = [rates(before, after, name, len(after.controllers)) for name in after.controllers]
    count = len(each)
    if not count:
        return Pace()
    calls = sum(one.relay_calls for one in each) / count
    return Pace(
        calls=calls,
        marks=sum(one.marks for one in each) / count / calls if calls else 0.0,
        orders=sum(one.orders for one in each) / count / calls if calls else 0.0,
        probes=sum(one.probes for one in each) / count,
        watches=sum(one.registry_calls for one in each) / count,
    )


def costs(before: Sample, after: Sample) -> list[Cost]:
    """Of each real controller between two moments."""
    seconds, found = after.at_s - before.at_s, []
    for name, usage in after.controllers.items():
        since = before.controllers.get(name, Usage(0.0, 0.0, 0.0))
        passed = rates(before, after, name, len(after.controllers))
        cpu_percent = 100 * (usage.cpu_s - since.cpu_s) / seconds
        found.append(Cost(name, cpu_percent, usage.memory_most_mb, passed.all_bytes, passed))
    return found
