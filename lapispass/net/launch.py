"""Reads the configuration of a controller from the environment and the file that `LB_CONFIG` names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from lapispass import deployment as settings
from lapispass.core import transient_errors
from lapispass.interface import Deployment
from lapispass.net.codec import Codec, RegistryMessage, WireError
from lapispass.net.http import split_address
from lapispass.net.limits import DEFAULT_MEMORY_MB, Limits
from lapispass.retry import RetryWindow, retry


class BadStart(Exception):
    """The configuration is missing or invalid; the message is one line that names the cause.

    `is_transient`: a system call failed, and may succeed when it is tried again.
    """

    def __init__(self, text: str, is_transient: bool = False) -> None:
        super().__init__(text)
        self.is_transient = is_transient


def is_transient(error: Exception) -> bool:
    """Whether another attempt may succeed."""
    return isinstance(error, BadStart) and error.is_transient


@dataclass(frozen=True, slots=True)
class Launch:
    """All that a `Service` needs. It is read at the start and again after the file has been replaced."""

    name: str
    listen: str
    registry: str
    relay: str
    seed: int
    known: RegistryMessage
    deployment: Deployment
    limits: Limits

    @classmethod
    async def read_with_retries(cls, environment: Mapping[str, str]) -> Launch:
        """Calls `read`, and retries transient errors for up to `Limits.bind_us`."""
        limits = Limits()
        window = RetryWindow(limits.bind_us / 1e6, limits.retry_min_us / 1e6)
        return await retry(lambda: cls.read(environment), is_transient, window)

    @classmethod
    def read(cls, environment: Mapping[str, str]) -> Launch:
        """Reads the file that `LB_CONFIG` names and the other variables; raises `BadStart`.

        The variables override the file, except for the address of the registry, where the file comes first:
        it can be replaced while the process runs, and a variable cannot change.
        """
        try:
            path_text = environment["LB_CONFIG"]
            path = Path(path_text)
            max_bytes = Limits().config_bytes
            if (path.exists() and not path.is_file()) or path.stat().st_size > max_bytes:
                # Reading a pipe would block.
                raise ValueError(f"expected a regular file of at most {max_bytes} bytes")
            given = json.loads(path.read_text("utf-8"))
        except KeyError as error:
            raise BadStart(f"environment variable {error.args[0]} is not set") from None
        except (OSError, ValueError, RecursionError) as error:
            is_transient = isinstance(error, OSError) and error.errno in transient_errors.FILE
            raise BadStart(f"LB_CONFIG {path_text!r}: {type(error).__name__} {error}", is_transient) from None
        if not isinstance(given, dict):
            raise BadStart(f"LB_CONFIG {path_text!r}: expected a JSON object")

        def required(variable: str, key: str) -> str:
            value = environment.get(variable) or given.get(key)
            if not isinstance(value, str) or not value:
                raise BadStart(f"expected text in variable {variable} or in key {key!r} of LB_CONFIG")
            return value

        try:
            part = "settings"
            # Overrides the settings: the real registry sends the list only to those who ask for it.
            deployment = replace(settings.read(given["settings"]), subscribes_to_registry=True)
            part = "limits"
            given_limits = settings.SettingsSection(given).section("limits")
            sockets = given_limits.integer("sockets", 1024)
            memory_mb = given_limits.integer("memory_mb") or DEFAULT_MEMORY_MB
            limits = Limits.for_sockets(sockets, deployment.proxies, deployment.slices, memory_mb)
            part = "known"
            content = settings.SettingsSection(given).section("known").content
            known = Codec(deployment, limits.id_bytes).parse_registry_message(
                content or {"revision": 0, "complete": False, "members": []}
            )
            part = "seed"
            seed = int(str(given["seed"]), 16)
            part = "store.address"
            relay = settings.SettingsSection(given).section("store").string("address", None)
            split_address(relay)
            part = "listen"
            split_address(listen := required("LB_LISTEN", "listen"))
            part = "discovery"
            split_address(registry := given.get("discovery") or required("LB_DISCOVERY", "discovery"))
        except (KeyError, ValueError, TypeError, AttributeError, OverflowError, WireError) as error:
            raise BadStart(f"LB_CONFIG {path_text!r}: {part}: {type(error).__name__} {error}") from None
        return cls(required("LB_NAME", "name"), listen, registry, relay, seed, known, deployment, limits)
