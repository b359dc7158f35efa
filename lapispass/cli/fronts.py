"""The controller with the further fronts that an operator file asks for."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from lapispass.cli.seeds import drawn
from lapispass.net.launch import BadStart, Launch
from lapispass.net.service import Service
from lapispass.net.service import main as serve
from lapispass.operator.read import BadFile, Source, read_at_start


def joined(source: Source) -> Callable[[Launch], Launch]:
    """Gates count as proxies: each may still act on an older table when a controller starts."""
    more = len(source.told.gates.name)
    return lambda launch: replace(launch, told=replace(launch.told, proxies=launch.told.proxies + more))


def attach(source: Source) -> Callable[[Service], None]:
    """Sets each front beside the service; a file that does not fit is a bad start."""

    def fronts(service: Service) -> None:
        try:
            if source.told.HasField("gates"):
                from lapispass.gate.gate_server import GateServer

                service.beside.append(GateServer(service, source))
            if source.told.HasField("xds"):
                from lapispass.xds.platform_server import PlatformXdsServer

                service.beside.append(PlatformXdsServer(service, source))
        except BadFile as error:
            raise BadStart(str(error)) from None

    return fronts


def main(path: Path) -> int:
    """The process's status."""
    try:
        source = read_at_start(path)
    except BadFile as error:
        print(error, file=sys.stderr)
        return 2
    if source.told.HasField("alone"):
        from lapispass.xds.host import main as host

        if source.told.alone.HasField("shared"):
            from lapispass.peers.host import SharedHost

            return host(path, drawn(), SharedHost)
        return host(path, drawn())
    return serve(joined(source), attach(source))
