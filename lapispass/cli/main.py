"""The verbs of the command line. Exit status: 0 success, 1 failed or a rule broken, 2 invalid input."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from lapispass.cli.seeds import draw_seed

app = typer.Typer(
    name="lapispass",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Assigns servers to proxies; hands each exclusive slice over in two published steps.",
)

OperatorFile = Annotated[Path, typer.Option("--operator", "-o", help="Operator file, protobuf text format.")]
LogStyle = Annotated[str, typer.Option("--log", help="plain, json or logfmt.")]
Seed = Annotated[int, typer.Option(help="Seed of all random numbers; 0 draws one from the system.")]


@app.command()
def gate(operator: OperatorFile, seed: Seed = 0, log: LogStyle = "plain") -> None:
    """Run a gate: it holds WebSocket connections, and counts, moves and closes them in order."""
    from lapispass.cli.logs import formatter
    from lapispass.gate.service import main

    try:
        log_formatter = formatter(log)
    except ValueError as error:
        typer.echo(f"--log: {error}", err=True)
        raise typer.Exit(2) from None
    raise typer.Exit(main(operator, seed or draw_seed(), log_formatter))


@app.command()
def run(
    operator: Annotated[
        Path | None,
        typer.Option("--operator", "-o", help="Operator file: further front ends beside the platform's."),
    ] = None,
) -> None:
    """Run the platform's controller, configured by LB_CONFIG and the other LB_ variables."""
    if operator is None:
        from lapispass.net.service import main

        raise typer.Exit(main())
    from lapispass.cli.front_ends import main as run_with_file

    raise typer.Exit(run_with_file(operator))


@app.command()
def check(operator: Annotated[Path, typer.Argument(help="Operator file.")]) -> None:
    """Check an operator file; each finding names the file, line and field."""
    from lapispass.operator.read import BadFile, read

    try:
        read(operator)
    except BadFile as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None
    typer.echo(f"{operator}: no findings")


lab = typer.Typer(no_args_is_help=True, help="Measurements and long runs against stand-ins.")
app.add_typer(lab, name="lab")


@lab.command("xds")
def lab_xds(
    seeds: Annotated[int, typer.Option(help="How many seeds to run, from --seed on.")] = 100,
    seed: Annotated[int, typer.Option(help="The first seed.")] = 0,
    seconds: Annotated[float, typer.Option(help="Duration of each run.")] = 4.0,
    at_once: Annotated[int, typer.Option(help="How many runs take place at the same time.")] = 4,
) -> None:
    """Drop xDS streams at random during a rolling deploy and check every rule; 1 if one is broken."""
    from lapispass.lab.drops import main

    raise typer.Exit(main(seed, seeds, seconds, at_once))


@lab.command("peers")
def lab_peers(
    seconds: Annotated[float, typer.Option(help="How long faults are injected.")] = 60,
    controllers: Annotated[int, typer.Option(help="How many controllers share the nodes.")] = 3,
    seed: Annotated[int, typer.Option(help="Seed of all random numbers.")] = 1,
) -> None:
    """Randomly kill and pause controllers that share a coordination service; 1 if a rule is broken."""
    from lapispass.lab.shared import main

    raise typer.Exit(main(seed, seconds, controllers))


@lab.command("fleet")
def lab_fleet(
    seeds: Annotated[
        int, typer.Option(min=1, max=100_000, help="How many seeds to run, from --seed on.")
    ] = 10,
    seed: Annotated[int, typer.Option(min=0, help="The first seed.")] = 0,
    controllers: Annotated[int, typer.Option(min=1, max=1024)] = 3,
    servers: Annotated[int, typer.Option(min=4, max=4096)] = 30,
    proxies: Annotated[int, typer.Option(min=2, max=10_000)] = 12,
) -> None:
    """Simulate random days of a fleet and check every rule; 1 if one is broken."""
    from lapispass.lab.fleet import main
    from lapispass.standins.fleet_parties import Size

    raise typer.Exit(main(seed, seeds, Size(controllers, proxies, servers)))


@lab.command("scale")
def lab_scale(
    servers: Annotated[int, typer.Option(help="Servers in the registry's list.")] = 5700,
    services: Annotated[int, typer.Option(help="Services that the servers belong to.")] = 120,
    slices: Annotated[int, typer.Option(help="Slices of the whole fleet.")] = 2200,
    held: Annotated[int, typer.Option(help="Slices that each controller holds.")] = 3,
    zones: Annotated[int, typer.Option(help="Zones, with one collector in each.")] = 16,
    proxies: Annotated[int, typer.Option(help="Proxies behind the relay.")] = 320,
    real: Annotated[int, typer.Option(help="Controllers that run as processes of their own.")] = 3,
    hollow: Annotated[int, typer.Option(help="Controllers that only hold connections.")] = 717,
    requests: Annotated[
        float, typer.Option(help="Requests per second of the whole fleet at its peak.")
    ] = 140_000,
    seconds: Annotated[float, typer.Option(help="Duration of each phase that lasts.")] = 60,
    seed: Annotated[int, typer.Option(help="Seed of all random numbers.")] = 1,
    sweep: Annotated[
        bool,
        typer.Option(
            "--sweep", help="Vary servers, controllers and proxies; fit base and slope of each cost."
        ),
    ] = False,
    json: Annotated[Path | None, typer.Option(help="Write all figures to this file.")] = None,
) -> None:
    """Run real controllers at the size of a fleet and check their costs; 1 if a budget is exceeded."""
    from lapispass.lab.scale.run import main
    from lapispass.lab.scale.size import Size
    from lapispass.lab.scale.sweep import Counts

    size = Size(servers, services, slices, held, zones, proxies, real, hollow, requests, seconds, seed)
    raise typer.Exit(main(size, json, counts=Counts() if sweep else None))


def main() -> None:
    """The entry point of the process; it sets the signal handling from its start to its end."""
    from lapispass.net import signals

    if sys.argv[1:2] in (["run"], ["gate"]):
        signals.ignore_all()
    try:
        app()
    finally:
        signals.block_all()
