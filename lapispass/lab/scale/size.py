"""How large a scale run is, and the bounds that it keeps itself."""

from __future__ import annotations

from dataclasses import dataclass

CLASSES = ("look", "pay")
MOST_PROXIES = 65_536  # a proxy is a number below this, as a slice is
FEWEST_SECONDS, MOST_SECONDS = 1.0, 3600.0


class BadSize(ValueError):
    """An option that makes no sense; the text names it."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a run may take of the machine; a run that takes more has failed."""

    processes: int = 200
    memory_share: float = 0.5  # of the machine's memory, all processes of the run together
    descriptors: int = 18_000  # of one process
    probes_per_s: float = 1500.0  # that hollow controllers send together; those left out are counted
    calls_per_s: float = 3000.0  # the same for calls of the relay


@dataclass(frozen=True, slots=True)
class Size:
    """The fleet that is played. `requests` are those of the peak, each second."""

    servers: int = 5700
    services: int = 120
    slices: int = 2200
    held: int = 3  # by each real controller
    zones: int = 16
    proxies: int = 320
    real: int = 3
    hollow: int = 717
    requests: float = 140_000.0
    seconds: float = 60.0
    seed: int = 1

    def check(self) -> None:
        """Raises `BadSize` for the first option that makes no sense."""
        counts = (
            ("--servers", self.servers, 1, 16_384),
            ("--services", self.services, 1, self.servers),
            ("--slices", self.slices, 1, MOST_PROXIES),
            ("--zones", self.zones, 1, 256),
            ("--proxies", self.proxies, 1, MOST_PROXIES),
            ("--real", self.real, 1, 16),
            ("--hollow", self.hollow, 0, 4096),
            ("--held", self.held, 1, self.slices // max(1, self.real)),
        )
        for option, value, least, most in counts:
            if not least <= value <= most:
                raise BadSize(f"{option} {value}: not from {least} to {most}")
        if self.real > self.servers:
            raise BadSize(
                f"--real {self.real}: more than the {self.servers} servers, of which each drains one"
            )
        if not FEWEST_SECONDS <= self.seconds <= MOST_SECONDS:
            raise BadSize(f"--seconds {self.seconds:g}: not from {FEWEST_SECONDS:g} to {MOST_SECONDS:g}")
        if not 0 < self.requests <= 1e9:
            raise BadSize(f"--requests {self.requests:g}: not over 0 and up to 1e9")

    @property
    def zone_names(self) -> tuple[str, ...]:
        return tuple(f"zone-{number}" for number in range(self.zones))

    @property
    def real_names(self) -> tuple[str, ...]:
        return tuple(f"real-{number}" for number in range(self.real))

    @property
    def server_names(self) -> tuple[str, ...]:
        return tuple(f"s-{number:08x}" for number in range(self.servers))

    def zone_of(self, server: int) -> str:
        return f"zone-{server % self.zones}"

    def service_of(self, server: int) -> str:
        return f"service-{server % self.services}"

    def charge(self, real: int) -> tuple[int, ...]:
        """The slices that a real controller holds."""
        return tuple(range(real * self.held, (real + 1) * self.held))
