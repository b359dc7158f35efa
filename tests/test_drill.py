"""The simulator's front: events are read, orders are written, and malformed input is reported."""

from __future__ import annotations

import io
import json

import pytest

from lapispass import interface
from lapispass.drill.__main__ import main
from lapispass.drill.codec import format_order, read_batches

ENV = json.dumps(
    {
        "grades": [{"name": "pay", "target-us": 10, "hard-limit-us": 20, "worth": 2.0}],
        "extra": {"key-ranges": 2, "class-writes": [True], "unheard-of": 1},
        "discovery": "subscribe",
    }
)


def run_main(text: str) -> tuple[int, str, str]:
    sink, errors = io.StringIO(), io.StringIO()
    return main(io.StringIO(text), sink, errors), sink.getvalue(), errors.getvalue()


def test_events_are_read_with_absent_values() -> None:
    lines = [
        "STATS\t3\t1\t14\t4\t5\t6\tz\t0.5,-",
        "STATS\t3\t1\t14\t4\t5\t6\tz\t-",
        "TOPOLOGY\t3\tincr\t1\t1",
        "ENTRY\t9\tz\tk\t0\tquiescing\t-\t0",
        "PRESSURE\t3\t2\t117\t10\t23\tpay",
        "TOOK_EFFECT\t3\t12\t41\t5",
        "ENROLLED\t3\t1\t41\tz\t6.5",
    ]
    text = "SYNC\t7\t1\n" + "\n".join(lines) + "\nEOF_BATCH\n\nSYNC\t8\t2\nEOF_BATCH"
    batch, empty = read_batches(io.StringIO(text))
    assert [event for _, event in batch.events] == [
        interface.ServerReport(6, "z", 1, 14, 4, 5, (0.5, None)),
        interface.ServerReport(6, "z", 1, 14, 4, 5, None),
        interface.RegistryUpdate("changes", (interface.RegistryEntry(9, "z", "draining", None, None),)),
        interface.RequestReport(117, "pay", 23, 2, 10),
        interface.BarrierAck(41, 12, 5),
        interface.ProxyJoined(41, True, "z", 6.5, reads_store=True),
    ]
    assert batch.now == 7 and empty.events == [] and empty.round_number == 2


@pytest.mark.parametrize(
    ("order", "line"),
    [
        (interface.SetTableEntry(117, 9, 0.75), "UPSERT\t3\t117\t0.75\t9\n"),
        (interface.ClearTable(117), "DROP_LINES\t3\t117\n"),
        (interface.SetWithdrawn(9, True), "BENCH\t3\t1\t9\n"),
        (interface.SetAdmission(None, 2, 1, 0.5), "VALVE\t3\t65535\t2\t1\t0.5\n"),
        (interface.Barrier(12, False), "CHECKPOINT\t3\t0\t12\n"),
        (interface.BindProxy(4, 1, 0), "PIN\t3\t4\t1\t0\n"),
        (interface.Probe(9), "INSPECT\t3\t9\n"),
        (interface.SetTimer(0, 99), "NOTIFY_ME\t3\t0\t99\n"),
        (interface.WatchRegistry(), "TAIL\t3\t1\n"),
        (interface.LogMessage("a b"), "RECORD\t3\ta b\n"),
    ],
)
def test_orders_are_written(order: interface.Order, line: str) -> None:
    assert format_order(3, order) == line


def test_an_instance_starts_is_killed_and_starts_again_in_one_batch() -> None:
    spawn = f"SPAWN\t0\t5\t{ENV}\nTOPOLOGY\t0\twarm_copy\t1\t0\n"
    status, output, error = run_main(
        f"SYNC\t7\t1\n{spawn}EOF_BATCH\nSYNC\t9\t2\nFIRED\t0\t0\nDETACH\t0\n{spawn}EOF_BATCH\n"
    )
    assert (status, error) == (0, "")
    assert output.count("TAIL\t0\t1\n") == 2 and output.endswith("NEXT\t2\n") and "PANIC" not in output


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("SYNC\t1\t1\nNONSENSE\t0\nEOF_BATCH\n", "line 2: unknown verb 'NONSENSE'"),
        ("SYNC\t1\nEOF_BATCH\n", "line 1: SYNC: got 1 values, expected 2"),
        ("SYNC\t1\t1\nFIRED\t0\tx\nEOF_BATCH\n", "line 2: FIRED: invalid literal"),
        ("SYNC\t1\t1\nFIRED\t0\nEOF_BATCH\n", "line 2: FIRED: got 1 values, expected 2"),
        ("SYNC\t1\t1\n", "input ends inside a batch"),
        ("EOF_BATCH\n", "expected SYNC"),
        ("SYNC\t1\t1\nFIRED\t4\t0\nEOF_BATCH\n", "round 1: event for unknown instance 4"),
        ("SYNC\t1\t1\nSPAWN\t0\t5\t{}\nEOF_BATCH\n", "SPAWN: settings"),
        ("SYNC\t1\t1\nTOPOLOGY\t0\tincr\t1\t1\nEOF_BATCH\n", "expected ENTRY"),
    ],
)
def test_what_is_malformed_is_said_in_one_line(text: str, error: str) -> None:
    status, _, output = run_main(text)
    assert status == 2 and error in output and output.count("\n") == 1


def test_a_fault_in_the_decisions_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lapispass.drill.__main__.Controller.turn", lambda *_: 1 // 0)
    _, output, _ = run_main(f"SYNC\t7\t1\nSPAWN\t0\t5\t{ENV}\nEOF_BATCH\n")
    assert output.startswith("PANIC\t0\tZeroDivisionError") and output.endswith("NEXT\t1\n")
