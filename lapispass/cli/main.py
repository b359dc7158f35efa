"""The verbs. Exit status: 0 done, 1 failed or a rule broken, 2 bad input."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from lapispass.cli.seeds import drawn

app = typer.Typer(
    name="lapispass",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Assigns servers to proxies; hands each exclusive slice over in two published steps.",
)

OperatorFile = Annotated[Path, typer.Option("--operator", "-o", help="Operator file, protobuf text format.")]
LogStyle = Annotated[str, typer.Option("--log", help="plain, json or logfmt.")]
Seed = Annotated[int, typer.Option(help="For all chance; 0 draws one from the system.")]


@app.command()
def gate(operator: OperatorFile, seed: Seed = 0, log: LogStyle = "plain") -> None:
    """Hold WebSocket connections: a router that counts, moves and closes them in order."""
    from lapispass.cli.logs import formatter
    from lapispass.gate.service import main

    try:
        lines = formatter(log)
    except ValueError as error:
        typer.echo(f"--log: {error}", err=True)
        raise typer.Exit(2) from None
    raise typer.Exit(main(operator, seed or drawn(), lines))


@app.command()
def run(
    operator: Annotated[
        Path | None,
        typer.Option("--operator", "-o", help="Operator file: further fronts beside the platform's."),
    ] = None,
) -> None:
    """Serve as the platform's controller, told by LB_CONFIG and the variables beside it."""
    if operator is None:
        from lapispass.net.service import main

        raise typer.Exit(main())
    from lapispass.cli.fronts import main as main_with

    raise typer.Exit(main_with(operator))


@app.command()
def check(operator: Annotated[Path, typer.Argument(help="Operator file.")]) -> None:
    """Check an operator file: every finding names file, line and field."""
    from lapispass.operator.read import BadFile, read

    try:
        read(operator)
    except BadFile as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    typer.echo(f"{operator}: no findings")


lab = typer.Typer(no_args_is_help=True, help="Measurements and long runs, on stand-ins.")
app.add_typer(lab, name="lab")


@lab.command("xds")
def lab_xds(
    seeds: Annotated[int, typer.Option(help="How many, from --seed on.")] = 100,
    seed: Annotated[int, typer.Option(help="The first.")] = 0,
    seconds: Annotated[float, typer.Option(help="Of each.")] = 4.0,
    at_once: Annotated[int, typer.Option(help="Played side by side.")] = 4,
) -> None:
    """Drop xDS streams at random under a rolling deploy and check every rule; 1 where one is broken."""
    from lapispass.lab.drops import main

    raise typer.Exit(main(seed, seeds, seconds, at_once))


@lab.command("peers")
def lab_peers(
    seconds: Annotated[float, typer.Option(help="How long trouble is made.")] = 60,
    controllers: Annotated[int, typer.Option(help="How many share the nodes.")] = 3,
    seed: Annotated[int, typer.Option(help="For all chance.")] = 1,
) -> None:
    """Kill and pause controllers at random over a coordination service; 1 where a rule is broken."""
    from lapispass.lab.shared import main

    raise typer.Exit(main(seed, seconds, controllers))


@lab.command("fleet")
def lab_fleet(
    seeds: Annotated[int, typer.Option(min=1, max=100_000, help="How many, from --seed on.")] = 10,
    seed: Annotated[int, typer.Option(min=0, help="The first.")] = 0,
    controllers: Annotated[int, typer.Option(min=1, max=1024)] = 3,
    servers: Annotated[int, typer.Option(min=4, max=4096)] = 30,
    proxies: Annotated[int, typer.Option(min=2, max=10_000)] = 12,
) -> None:
    """Play drawn days of a fleet in simulated time and check every rule; 1 where one is broken."""
    from lapispass.lab.fleet import main
    from lapispass.standins.fleet_parties import Size

    raise typer.Exit(main(seed, seeds, Size(controllers, proxies, servers)))


@lab.command("scale")
def lab_scale(
    servers: Annotated[int, typer.Option(help="In the registry's list.")] = 5700,
    services: Annotated[int, typer.Option(help="That the servers belong to.")] = 120,
    slices: Annotated[int, typer.Option(help="Of the whole fleet.")] = 2200,
    held: Annotated[int, typer.Option(help="Slices that each controller holds.")] = 3,
    zones: Annotated[int, typer.Option(help="One collector in each.")] = 16,
    proxies: Annotated[int, typer.Option(help="Behind the relay.")] = 320,
    real: Annotated[int, typer.Option(help="Controllers that are processes of their own.")] = 3,
    hollow: Annotated[int, typer.Option(help="Controllers that only hold connections.")] = 717,
    requests: Annotated[float, typer.Option(help="A second, of the whole fleet at its peak.")] = 140_000,
    seconds: Annotated[float, typer.Option(help="Of each phase that lasts.")] = 60,
    seed: Annotated[int, typer.Option(help="For all chance.")] = 1,
    sweep: Annotated[
        bool,
        typer.Option("--sweep", help="Vary servers, controllers, proxies; fit base and slope of each cost."),
    ] = False,
    json: Annotated[Path | None, typer.Option(help="Write all figures to this file.")] = None,
) -> None:
    """Run real controllers at a fleet's size and judge what they cost; 1 where a budget is passed over."""
    from lapispass.lab.scale.run import main
    from lapispass.lab.scale.size import Size
    from lapispass.lab.scale.sweep import Counts

    size = Size(servers, services, slices, held, zones, proxies, real, hollow, requests, seconds, seed)
    raise typer.Exit(main(size, json, counts=Counts() if sweep else None))


def main() -> None:
    """The console script, a process of its own: signals are its to set, from its first moment to its last."""
    from lapispass.net import signals

    if sys.argv[1:2] in (["run"], ["gate"]):
        signals.ignore_all()
    try:
        app()
    finally:
        signals.block_all()
