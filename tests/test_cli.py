"""The command line: its verbs, exit statuses and log styles."""

from __future__ import annotations

import json
import logging
from pathlib import Path

import pytest
from typer.testing import CliRunner

from lapispass.cli.logs import formatter
from lapispass.cli.main import app

run = CliRunner().invoke


def test_check_says_what_is_wrong_and_where(tmp_path: Path) -> None:
    good = Path(__file__).parent.parent / "deploy" / "gate-alone.textproto"
    assert run(app, ["check", str(good)]).exit_code == 0
    bad = tmp_path / "bad.textproto"
    bad.write_text('gate {\n  listen: "nowhere"\n}')
    result = run(app, ["check", str(bad)])
    assert result.exit_code == 2 and f"{bad}:2: gate.listen: " in result.output


@pytest.mark.parametrize("verb", [["gate", "-o"], ["run", "-o"]])
def test_a_file_that_is_not_there_is_bad_input(tmp_path: Path, verb: list[str]) -> None:
    assert run(app, [*verb, str(tmp_path / "none")]).exit_code == 2


def test_every_verb_has_help() -> None:
    for verb in ([], ["gate"], ["run"], ["check"], ["lab"], ["lab", "xds"], ["lab", "peers"]):
        assert run(app, [*verb, "--help"]).exit_code == 0
    assert run(app, ["gate", "-o", "x", "--log", "morse"]).exit_code == 2


def test_json_and_logfmt_lines_carry_the_same_fields() -> None:
    record = logging.LogRecord("lapispass.gate", logging.WARNING, "", 0, "node lost", (), None)
    record.fields = {"node": "n 1", "count": 3}
    as_json, as_logfmt = formatter("json"), formatter("logfmt")
    assert as_json is not None and as_logfmt is not None and formatter("plain") is None
    fields = json.loads(as_json.format(record))
    assert (fields["event"], fields["part"], fields["level"], fields["node"], fields["count"]) == (
        "node lost",
        "gate",
        "warning",
        "n 1",
        3,
    )
    assert 'event="node lost" node="n 1" count=3' in as_logfmt.format(record)
