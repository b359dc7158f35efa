"""Runs the controller with the further front ends that an operator file describes: gates and xDS."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from lapispass.cli.seeds import draw_seed
from lapispass.net.launch import BadStart, Launch
from lapispass.net.service import Service
from lapispass.net.service import main as run_service
from lapispass.operator.read import BadFile, Source, read_at_start


def count_gates_as_proxies(source: Source) -> Callable[[Launch], Launch]:
    """Completes the launch settings: gates count as proxies.

    Each gate may still act on an older table when a controller starts.
    """
    gates = len(source.settings.gates.name)
    return lambda launch: replace(
        launch, deployment=replace(launch.deployment, proxies=launch.deployment.proxies + gates)
    )


def attach(source: Source) -> Callable[[Service], None]:
    """Returns a function that adds the front ends to a service.

    It raises `BadStart` if the operator file is invalid.
    """

    def attach_front_ends(service: Service) -> None:
        try:
            if source.settings.HasField("gates"):
                from lapispass.gate.gate_server import GateServer

                service.additional_fronts.append(GateServer(service, source))
            if source.settings.HasField("xds"):
                from lapispass.xds.platform_server import PlatformXdsServer

                service.additional_fronts.append(PlatformXdsServer(service, source))
        except BadFile as error:
            raise BadStart(str(error)) from None

    return attach_front_ends


def main(path: Path) -> int:
    """Runs the controller that the operator file describes; returns the exit status."""
    try:
        source = read_at_start(path)
    except BadFile as error:
        print(error, file=sys.stderr)
        return 2
    if source.settings.HasField("alone"):
        from lapispass.xds.host import main as run_host

        if source.settings.alone.HasField("shared"):
            from lapispass.peers.host import SharedHost

            return run_host(path, draw_seed(), SharedHost)
        return run_host(path, draw_seed())
    return run_service(count_gates_as_proxies(source), attach(source))
