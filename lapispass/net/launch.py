"""What the platform tells a controller at its start, read from the environment and the file it names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from lapispass import deployment
from lapispass.interface import Deployment
from lapispass.net.codec import Codec, Listing, WireError
from lapispass.net.http import split
from lapispass.net.limits import Limits


class BadStart(Exception):
    """Something at the start is missing or wrong; the text names it in one line."""


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
            raise BadStart(f"LB_CONFIG {where!r}: {type(error).__name__} {error}") from None
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
            told = replace(deployment.read(given["settings"]), asks_for_list=True)
            part = "limits"
            sockets = deployment.Part(given).part("limits").whole("sockets", 1024)
            limits = Limits.within(sockets, told.proxies, told.slices)
            part = "known"
            listed = deployment.Part(given).part("known").told
            known = Codec(told, limits.id_bytes).listed(
                listed or {"revision": 0, "complete": False, "members": []}
            )
            part = "seed"
            seed = int(str(given["seed"]), 16)
            part = "store.address"
            relay = deployment.Part(given).part("store").word("address", None)
            split(relay)
            part = "listen"
            split(listen := one("LB_LISTEN", "listen"))
            part = "discovery"
            split(registry := given.get("discovery") or one("LB_DISCOVERY", "discovery"))
        except (KeyError, ValueError, TypeError, AttributeError, OverflowError, WireError) as error:
            raise BadStart(f"LB_CONFIG {where!r}: {part}: {type(error).__name__} {error}") from None
        return cls(one("LB_NAME", "name"), listen, registry, relay, seed, known, told, limits)
