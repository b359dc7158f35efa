"""Reads the settings of the start, which every front is given in the same form, into a `Deployment`."""

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
ADMITS = {"fraction": "share", "per_second": "rate"}
FIGURE_MOST = 1e15  # above any span in microseconds, any count and any rate that means something
NUMBER_MOST = 65_536  # proxies and tables are numbers below this


class SettingsSection:
    """One object of the settings. What it reads is checked, and named by its path where it makes no sense."""

    def __init__(self, told: Any, path: str = "") -> None:
        if not isinstance(told, dict):
            raise ValueError(f"{path or 'settings'}: no object")
        self.told, self.path = told, path

    def name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def part(self, key: str) -> SettingsSection:
        """An object that may be left out."""
        return SettingsSection({} if self.told.get(key) is None else self.told[key], self.name(key))

    def one(self, key: str, default: Any, sound: Callable[[Any], bool], what: str) -> Any:
        """A value; None as the default says that it must be there."""
        value = default if self.told.get(key) is None else self.told[key]
        if value is None:
            raise ValueError(f"{self.name(key)}: missing")
        if not sound(value):
            raise ValueError(f"{self.name(key)}: {str(value)[:60]!r} is no {what}")
        return value

    def number(self, key: str, default: float | None = 0, most: float = FIGURE_MOST) -> float:
        def sound(value: Any) -> bool:
            return (
                isinstance(value, int | float)
                and not isinstance(value, bool)
                and (isinstance(value, int) or isfinite(value))
                and 0 <= value <= most
            )

        return float(self.one(key, default, sound, f"number from 0 to {most:g}"))

    def whole(self, key: str, default: float | None = 0, most: float = FIGURE_MOST) -> int:
        return int(self.number(key, default, most))

    def word(self, key: str, default: str | None = "") -> str:
        return str(self.one(key, default, lambda value: isinstance(value, str), "word"))

    def flag(self, key: str, default: bool = False) -> bool:
        return bool(self.one(key, default, lambda value: value in (0, 1), "yes or no"))

    def several(
        self, key: str, sound: Callable[[Any], bool], what: str, length: int | None = None
    ) -> list[Any]:
        """A list, of one value for each of something where a length is told; it may be left out then."""

        def whole(value: Any) -> bool:
            return isinstance(value, list | tuple) and all(map(sound, value))

        told = self.one(key, [], whole, f"list of {what}")
        if length is not None and len(told) not in (0, length):
            raise ValueError(f"{self.name(key)}: {len(told)} values for {length} classes")
        return list(told) or [False] * (length or 0)

    def words(self, key: str) -> tuple[str, ...]:
        """Names, each once."""
        told = self.several(key, lambda value: isinstance(value, str), "words")
        if twice := next((word for word in told if told.count(word) > 1), None):
            raise ValueError(f"{self.name(key)}: {twice[:60]!r} stands there twice")
        return tuple(told)


def visit_classes(env: SettingsSection, extra: SettingsSection) -> tuple[interface.RequestClass, ...]:
    told = env.one("grades", None, lambda value: isinstance(value, list) and value != [], "list of classes")
    grades = [SettingsSection(grade, f"grades[{place}]") for place, grade in enumerate(told)]
    names = [grade.word("name", None) for grade in grades]
    for place, name in enumerate(names):
        if name in names[:place]:
            raise ValueError(f"grades[{place}].name: {name[:60]!r} stands there twice")
    writes, home = (
        extra.several(key, lambda value: value in (0, 1), "yes or no", len(grades))
        for key in ("class-writes", "home-only")
    )
    return tuple(
        interface.RequestClass(
            name,
            grade.whole("target-us", None),
            grade.whole("hard-limit-us", None),
            grade.number("worth", None),
            bool(write),
            bool(own),
            # Where nothing is said of repeats, what writes must not run twice.
            grade.word("effect", "single_shot" if write else "free") == "free",
        )
        for grade, name, write, own in zip(grades, names, writes, home, strict=True)
    )


def read(told: Any) -> interface.Deployment:
    """Keys it does not know are passed over; a ValueError names the one that is missing or odd."""
    env = SettingsSection(told)
    extra, rules, limits = env.part("extra"), env.part("rules"), env.part("limits")
    # A slice with one owner is never handed over without these.
    needed = None if extra.flag("one-owner") and extra.number("key-ranges") else 0
    return interface.Deployment(
        classes=visit_classes(env, extra),
        zones=env.words("zones"),
        proxies=extra.whole("data-plane-size", most=NUMBER_MOST),
        slices=extra.whole("key-ranges", most=NUMBER_MOST),
        lease_us=extra.whole("lease-us", needed),
        linger_us=extra.whole("lingers-us", needed),
        unserved_limit_us=extra.whole("blackhole-us"),
        lines_per_s=extra.number("lines-per-s"),
        message_overhead_lines=extra.number("fixed-cost"),
        queue_limit_lines=extra.number("queue-cap"),
        max_messages=extra.whole("pushes-allowed"),
        message_window_us=extra.whole("update-window-us"),
        report_interval_us=extra.whole("report-every-us"),
        default_retry=extra.whole("usual-how", most=3),
        subscribes_to_registry=env.word("discovery") == "subscribe",
        probes_allowed=limits.flag("probes"),
        must_leave_gone=not rules.flag("drain-binds-alone"),
        admission_mode=ADMITS.get(extra.word("admit"), "none"),
        cold_us=rules.whole("cold-us"),
        cold_share=rules.number("start-capacity", 1),
        cold_overload_factor=rules.number("fall-multiple", 2),
        load_fields=tuple(LOAD_FIELDS.get(name, name) for name in env.part("stats").words("fields")),
        turn_interval_us=env.whole("period-us", 5000),
    )
