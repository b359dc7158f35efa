"""Reads the settings, which every front end receives in the same form at its start, into a `Deployment`."""

from __future__ import annotations

from collections.abc import Callable
from math import isfinite
from typing import Any

from lapispass import interface

LOAD_FIELDS = {
    "busy_reqs": "held",
    "pending": "waiting",
    "cpu_share": "busy",
    "svc_ms": "service_ms",
    "served_ps": "completed_per_s",
    "failed_ps": "failed_per_s",
}
ADMISSION_MODES = {"fraction": "share", "per_second": "rate"}
MAX_NUMBER = 1e15  # above any meaningful span in microseconds, count or rate
MAX_ID = 65_536  # proxies and tables have numbers below this


class SettingsSection:
    """One object of the settings.

    Every value that is read from it is checked. An invalid one raises a ValueError that names its path.
    """

    def __init__(self, content: Any, path: str = "") -> None:
        if not isinstance(content, dict):
            raise ValueError(f"{path or 'settings'}: not an object")
        self.content, self.path = content, path

    def name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def section(self, key: str) -> SettingsSection:
        """A nested object; where it is left out, an empty one."""
        return SettingsSection({} if self.content.get(key) is None else self.content[key], self.name(key))

    def get(self, key: str, default: Any, valid: Callable[[Any], bool], what: str) -> Any:
        """A value; None as the default makes it mandatory. `what` describes a valid value."""
        value = default if self.content.get(key) is None else self.content[key]
        if value is None:
            raise ValueError(f"{self.name(key)}: missing")
        if not valid(value):
            raise ValueError(f"{self.name(key)}: {str(value)[:60]!r} is not a {what}")
        return value

    def number(self, key: str, default: float | None = 0, maximum: float = MAX_NUMBER) -> float:
        def valid(value: Any) -> bool:
            return (
                isinstance(value, int | float)
                and not isinstance(value, bool)
                and (isinstance(value, int) or isfinite(value))
                and 0 <= value <= maximum
            )

        return float(self.get(key, default, valid, f"number from 0 to {maximum:g}"))

    def integer(self, key: str, default: float | None = 0, maximum: float = MAX_NUMBER) -> int:
        return int(self.number(key, default, maximum))

    def string(self, key: str, default: str | None = "") -> str:
        return str(self.get(key, default, lambda value: isinstance(value, str), "string"))

    def flag(self, key: str, default: bool = False) -> bool:
        return bool(self.get(key, default, lambda value: value in (0, 1), "boolean"))

    def list_of(
        self, key: str, valid: Callable[[Any], bool], what: str, length: int | None = None
    ) -> list[Any]:
        """A list. Where a length is given, it has one value for each request class, or may be left out."""

        def valid_list(value: Any) -> bool:
            return isinstance(value, list | tuple) and all(map(valid, value))

        values = self.get(key, [], valid_list, f"list of {what}")
        if length is not None and len(values) not in (0, length):
            raise ValueError(f"{self.name(key)}: {len(values)} values for {length} classes")
        return list(values) or [False] * (length or 0)

    def names(self, key: str) -> tuple[str, ...]:
        """A list of names, all different."""
        names = self.list_of(key, lambda value: isinstance(value, str), "strings")
        if twice := next((name for name in names if names.count(name) > 1), None):
            raise ValueError(f"{self.name(key)}: {twice[:60]!r} is listed twice")
        return tuple(names)


def request_classes(env: SettingsSection, extra: SettingsSection) -> tuple[interface.RequestClass, ...]:
    listed = env.get("grades", None, lambda value: isinstance(value, list) and value != [], "list of classes")
    grades = [SettingsSection(grade, f"grades[{index}]") for index, grade in enumerate(listed)]
    names = [grade.string("name", None) for grade in grades]
    for index, name in enumerate(names):
        if name in names[:index]:
            raise ValueError(f"grades[{index}].name: {name[:60]!r} is listed twice")
    writes, home = (
        extra.list_of(key, lambda value: value in (0, 1), "booleans", len(grades))
        for key in ("class-writes", "home-only")
    )
    return tuple(
        interface.RequestClass(
            name,
            grade.integer("target-us", None),
            grade.integer("hard-limit-us", None),
            grade.number("worth", None),
            bool(write),
            bool(home_only),
            # Where no effect is given, requests of a class that writes must not run twice.
            grade.string("effect", "single_shot" if write else "free") == "free",
        )
        for grade, name, write, home_only in zip(grades, names, writes, home, strict=True)
    )


def read(settings: Any) -> interface.Deployment:
    """Reads a deployment. Unknown keys are ignored; a ValueError names a key that is missing or invalid."""
    env = SettingsSection(settings)
    extra, rules, limits = env.section("extra"), env.section("rules"), env.section("limits")
    # Slices with one owner cannot be handed over safely without a lease and a linger time.
    needed = None if extra.flag("one-owner") and extra.number("key-ranges") else 0
    return interface.Deployment(
        classes=request_classes(env, extra),
        zones=env.names("zones"),
        proxies=extra.integer("data-plane-size", maximum=MAX_ID),
        slices=extra.integer("key-ranges", maximum=MAX_ID),
        lease_us=extra.integer("lease-us", needed),
        linger_us=extra.integer("lingers-us", needed),
        unserved_limit_us=extra.integer("blackhole-us"),
        lines_per_s=extra.number("lines-per-s"),
        message_overhead_lines=extra.number("fixed-cost"),
        queue_limit_lines=extra.number("queue-cap"),
        max_messages=extra.integer("pushes-allowed"),
        message_window_us=extra.integer("update-window-us"),
        report_interval_us=extra.integer("report-every-us"),
        default_retry=extra.integer("usual-how", maximum=3),
        subscribes_to_registry=env.string("discovery") == "subscribe",
        probes_allowed=limits.flag("probes"),
        must_leave_gone=not rules.flag("drain-binds-alone"),
        admission_mode=ADMISSION_MODES.get(extra.string("admit"), "none"),
        cold_us=rules.integer("cold-us"),
        cold_share=rules.number("start-capacity", 1),
        cold_overload_factor=rules.number("fall-multiple", 2),
        load_fields=tuple(LOAD_FIELDS.get(name, name) for name in env.section("stats").names("fields")),
        turn_interval_us=env.integer("period-us", 5000),
    )
