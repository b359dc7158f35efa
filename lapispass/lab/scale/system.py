"""What the system tells of processes and of the machine, from /proc."""

from __future__ import annotations

import os
import platform
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB_PER_MB = 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """A process: its processor time since its start, its memory now and the most it ever had."""

    cpu_s: float
    memory_mb: float
    memory_most_mb: float


def usage(pid: int) -> Usage:
    """Of a process that runs; a ProcessLookupError or FileNotFoundError where there is none."""
    proc = Path("/proc") / str(pid)
    times = (proc / "stat").read_text().rpartition(")")[2].split()
    kilobytes = {
        name: int(value.split()[0])
        for name, _, value in (line.partition(":") for line in (proc / "status").read_text().splitlines())
        if name in ("VmRSS", "VmHWM")
    }
    return Usage(
        (int(times[11]) + int(times[12])) / TICKS_PER_S,
        kilobytes.get("VmRSS", 0) / KB_PER_MB,
        kilobytes.get("VmHWM", 0) / KB_PER_MB,
    )


def descriptors(pid: int) -> int:
    """How many a process holds."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


def machine_memory_mb() -> float:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / (KB_PER_MB * KB_PER_MB)


@dataclass(frozen=True, slots=True)
class Machine:
    """What a run was measured on."""

    cores: int
    memory_mb: int
    processor: str
    system: str
    python: str


def machine() -> Machine:
    about = os.uname()
    lines = Path("/proc/cpuinfo").read_text().splitlines()
    model = next((line.partition(":")[2].strip() for line in lines if line.startswith("model name")), "")
    python = platform.python_version()
    cores = os.cpu_count() or 1
    return Machine(cores, round(machine_memory_mb()), model, f"{about.sysname} {about.release}", python)
