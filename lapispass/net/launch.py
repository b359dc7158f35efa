"""What the platform tells a controller at its start, read from the environment and the file it names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from lapispass import deployment
from lapispass.core import momentary
from lapispass.interface import Deployment
from lapispass.net.codec import Codec, Listing, WireError
from lapispass.net.http import split_address
from lapispass.net.limits import Limits
from lapispass.retry import RetryWindow, retry


class BadStart(Exception):
    """Something at the start is missing or wrong; the text names it in one line.

    `may_pass` where it is a call that failed, and may not the next time.
    """

    def __init__(self, text: str, may_pass: bool = False) -> None:
        super().__init__(text)
        self.may_pass = may_pass


def may_pass(error: Exception) -> bool:
    """Whether a further attempt may succeed."""
    return isinstance(error, BadStart) and error.may_pass


@dataclass(frozen=True, slots=True)
class Launch:
    """All that a `Service` needs; read at the start, and again when the file has been replaced."""

    name: str
    listen: str
    registry: str
    relay: str
    seed: int
    known: Listing
    told: Deployment
    limits: Limits

    @classmethod
    async def read_with_retries(cls, environment: Mapping[str, str]) -> Launch:
        """As `read`, which is tried again for `Limits.bind_us` while the file cannot be read."""
        limits = Limits()
        window = RetryWindow(limits.bind_us / 1e6, limits.retry_min_us / 1e6)
        return await retry(lambda: cls.read(environment), may_pass, window)

    @classmethod
    def read(cls, environment: Mapping[str, str]) -> Launch:
        """From `LB_CONFIG` and the variables beside it.

        Where the registry is, the file says first: a variable cannot change while the process runs.
        """
        try:
            where = environment["LB_CONFIG"]
            path = Path(where)
            most = Limits().config_bytes
            if (path.exists() and not path.is_file()) or path.stat().st_size > most:
                raise ValueError(f"no file of {most} bytes at most")  # a pipe would stop us
            given = json.loads(path.read_text("utf-8"))
        except KeyError as error:
            raise BadStart(f"variable {error.args[0]} is not set") from None
        except (OSError, ValueError, RecursionError) as error:
            may_pass = isinstance(error, OSError) and error.errno in momentary.FILE
            raise BadStart(f"LB_CONFIG {where!r}: {type(error).__name__} {error}", may_pass) from None
        if not isinstance(given, dict):
            raise BadStart(f"LB_CONFIG {where!r}: no object")

        def one(variable: str, key: str) -> str:
            value = environment.get(variable) or given.get(key)
            if not isinstance(value, str) or not value:
                raise BadStart(f"neither variable {variable} nor key {key!r} in LB_CONFIG is set")
            return value

        try:
            part = "settings"
            # Whatever the settings say of discovery: on sockets nobody tells the list to whom has not asked
            # for it.
            told = replace(deployment.read(given["settings"]), subscribes_to_registry=True)
            part = "limits"
            sockets = deployment.SettingsSection(given).section("limits").integer("sockets", 1024)
            limits = Limits.for_sockets(sockets, told.proxies, told.slices)
            part = "known"
            listed = deployment.SettingsSection(given).section("known").content
            known = Codec(told, limits.id_bytes).listed(
                listed or {"revision": 0, "complete": False, "members": []}
            )
            part = "seed"
            seed = int(str(given["seed"]), 16)
            part = "store.address"
            relay = deployment.SettingsSection(given).section("store").string("address", None)
            split_address(relay)
            part = "listen"
            split_address(listen := one("LB_LISTEN", "listen"))
            part = "discovery"
            split_address(registry := given.get("discovery") or one("LB_DISCOVERY", "discovery"))
        except (KeyError, ValueError, TypeError, AttributeError, OverflowError, WireError) as error:
            raise BadStart(f"LB_CONFIG {where!r}: {part}: {type(error).__name__} {error}") from None
        return cls(one("LB_NAME", "name"), listen, registry, relay, seed, known, told, limits)
