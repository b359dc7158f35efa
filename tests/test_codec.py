"""The codec: the units and the meaning of each message on the wire, and malformed messages."""

from __future__ import annotations

import asyncio
import io
import json
import random

import pytest
from configurations import MEMBER
from fleet import MS, SECOND, deployment
from hypothesis import given
from hypothesis import settings as drawing
from hypothesis import strategies as some

from lapispass import deployment as settings
from lapispass import interface
from lapispass.controller import Controller
from lapispass.drill.codec import read_batches
from lapispass.net.codec import CallRejected, Codec, RegistryMessage, WireError, call_body, parse_call_answer
from lapispass.net.counters import Counters
from lapispass.net.limits import Limits
from lapispass.net.lines import LineSplitter, LineTooLong
from lapispass.net.registry import Registry

DEPLOYMENT = deployment(slices=200, proxies=60, zones=("a", "b"), load_fields=("waiting", "busy"))


CODEC = Codec(DEPLOYMENT, 256)


LOAD = "LOAD locality=a endpoint=s-1 total=212 errors=3 rtt=41.7 interval=1000.0"


EVENTS = [
    ("SUBSCRIBE", "node=17&locality=a&w=21.5&cold=1"),
    ("CLOSED", "node=17"),
    ("GRANT", "shard=88&set=1"),
    ("ROW", "shard=88&endpoint=s-1&w=1.0"),
    ("ACK", "node=17&nonce=905&latency=310.4"),
]


START_MS = 1_796_139_439_123


def listing(*members: object, revision: object = 43, complete: object = False) -> str:
    return json.dumps({"revision": revision, "complete": complete, "members": members})


def report(text: str) -> tuple[str, str | interface.Event]:
    return CODEC.parse_report(memoryview(text.encode()), True)


def test_each_message_means_what_it_means_on_the_simulators_wire() -> None:
    lines = [
        "STATS\t0\t3\t212\t41700\t1000000\t7\ta\t-",
        "PRESSURE\t0\t1\t88\t1000000\t40\tlook",
        "ENROLLED\t0\t1\t17\ta\t21.5",
        "DROPPED_OFF\t0\t17",
        "GIVEN\t0\t88\t1",
        "RECORDED\t0\t88\t7\t1.0",
        "TOOK_EFFECT\t0\t905\t17\t310400",
    ]
    (batch,) = read_batches(io.StringIO("SYNC\t7\t1\n" + "\n".join(lines) + "\nEOF_BATCH\n"))
    heard = [report(LOAD)[1], report("SHARD shard=88 route=look total=40 errors=1 interval=1000.0")[1]]
    assert report("SHARD shard=88 route=look total=0 errors=3 interval=1000.0"), (
        "a request of an earlier interval may fail now"
    )
    heard += [CODEC.parse_event(kind, data) for kind, data in EVENTS]
    heard = [event._replace(backend=7) if hasattr(event, "backend") else event for event in heard]
    assert heard == [event for _, event in batch.events]


def test_load_reports_are_in_the_order_of_the_deployment() -> None:
    met = report(f"{LOAD} metrics=inflight:7,util:0.61,queue:2,odd:x")[1]
    assert isinstance(met, interface.ServerReport) and met.load == (2.0, 0.61)
    assert CODEC.parse_load("inflight=7,util=0.61", "=") == (None, 0.61)
    # Reports use the field names of the settings. A codec that only knew the others saw no queues.
    assert CODEC.parse_load("pending:2.0,svc_ms:125.884,cpu_share:0.5", ":") == (2.0, 0.5)
    assert CODEC.parse_load("odd=x", "=") is None
    with pytest.raises(WireError):  # one malformed value makes the report malformed
        CODEC.parse_load("inflight=7,queue=2,util=nan", "=")


def test_the_list_is_read_and_start_times_are_unix_times() -> None:
    # A start time exceeds any duration: the bound for durations made every new server's entry malformed.
    message = CODEC.parse_registry_text(
        listing(
            MEMBER,
            {**MEMBER, "id": "s-2", "phase": "Terminating", "size": 0, "up_since_ms": START_MS},
            {**MEMBER, "id": "s-3", "phase": "Gone"},
        )
    )
    assert message.entries == (
        interface.RegistryEntry("s-1", "a", "ready", 1.0, None),
        interface.RegistryEntry("s-2", "a", "draining", None, START_MS * MS),
        interface.RegistryEntry("s-3", "a", "gone", 1.0, None),
    )
    assert (message.version, message.whole, message.unreadable) == (43, False, 0)
    assert message.addresses["s-2"] == "127.0.0.1:3000"


@pytest.mark.parametrize(
    "odd",
    [
        *({"id": odd} for odd in (5, "", "a;DEL,1", "x" * 257)),
        {"phase": "Odd"},
        *({"size": odd} for odd in ("nan", -1, [1])),
        *({"up_since_ms": odd} for odd in (-1, 1e300, 10**400)),
        {"locality": None, "phase": []},
    ],
)
def test_a_malformed_entry_is_left_out_and_counted(odd: dict) -> None:
    message = CODEC.parse_registry_text(listing({**MEMBER, **odd}, {**MEMBER, "id": "s-2"}, 5))
    assert [entry.backend for entry in message.entries] == ["s-2"] and message.unreadable == 2


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "5",
        "{",
        "[" * 100_000,
        "\ufffe",
        listing(revision="x"),
        listing(revision=None),
        '{"revision":1,"complete":true,"members":{}}',
    ],
)
def test_a_malformed_list_is_rejected(text: str) -> None:
    with pytest.raises(WireError):
        CODEC.parse_registry_text(text)


@pytest.mark.parametrize(
    "line",
    [
        "LOAD",
        "LOAD x",
        *(LOAD.replace("212", odd) for odd in ("2", "-1", "1e99", "2.5")),
        LOAD.replace("41.7", "nan"),
        LOAD.replace("s-1", ""),
        "  ",
        "SHARD shard=200 route=look total=1 errors=0 interval=1",
        "SHARD shard=1 route=odd total=1 errors=0 interval=1",
        "SHARD shard=-1 route=look total=1 errors=0 interval=1",
        LOAD.replace("=a", "=1e+30"),
        LOAD.replace("locality=a ", ""),
        f"{LOAD} metrics=util:x",
        "RATE node=1 total=2",
        "SOURCE locality=nowhere",
        "SOURCE",
        "SUBSCRIBE node=1 locality=a w=1 cold=0",
    ],
)
def test_a_malformed_line_is_rejected(line: str) -> None:
    with pytest.raises(WireError):
        report(line)


def test_a_collector_joins_for_a_zone_before_it_reports() -> None:
    assert CODEC.parse_report(memoryview(b"SOURCE locality=b"), False) == ("SOURCE", "b")
    with pytest.raises(WireError):
        CODEC.parse_report(memoryview(LOAD.encode()), False)


@pytest.mark.parametrize(
    ("kind", "data"),
    [
        ("SUBSCRIBE", "node=60&locality=a&w=1&cold=1"),
        ("SUBSCRIBE", "node=1&locality=a&w=1&cold=2"),
        ("SUBSCRIBE", "locality=a"),
        ("CLOSED", "node=x"),
        ("ACK", "node=1&nonce=65536&latency=1"),
        ("ACK", "node=1&nonce=1&latency=inf"),
        ("GRANT", "shard=200&set=1"),
        ("ROW", "shard=1&endpoint=&w=1"),
        ("ROW", "garbage"),
    ],
)
def test_malformed_events_are_rejected(kind: str, data: str) -> None:
    with pytest.raises(WireError):
        CODEC.parse_event(kind, data)


def test_no_message_from_outside_makes_the_controller_fail() -> None:
    chance = random.Random(5)
    controller, now, events = Controller(DEPLOYMENT, 1, 0), 0, []
    texts = [
        LOAD + " metrics=util:0.5,queue:9",
        "SHARD shard=8 route=pay total=4 errors=1 interval=2000",
        listing(MEMBER, {**MEMBER, "id": "s-2", "up_since_ms": START_MS}),
        listing(MEMBER, complete=True),
    ]

    def spoilt(text: str) -> str:
        for _ in range(chance.randrange(3)):
            at = chance.randrange(len(text))
            text = text[:at] + chance.choice(("", "0", "9" * 9, "-", "s-2", "e5", "&", " ")) + text[at + 1 :]
        return text

    refused = 0
    for _ in range(4000):
        try:
            choice = chance.randrange(3)
            if choice == 0:
                events.append(report(spoilt(chance.choice(texts[:2])))[1])
            elif choice == 1:
                message = CODEC.parse_registry_text(spoilt(chance.choice(texts[2:])))
                events.append(interface.RegistryUpdate(("changes", "whole")[message.whole], message.entries))
            else:
                kind, data = chance.choice(EVENTS)
                events.append(CODEC.parse_event(kind, spoilt(data)))
        except WireError:
            refused += 1
        if chance.random() < 0.1:
            now += chance.randrange(SECOND)
            for order in controller.turn(now, [event for event in events if event]):
                if not isinstance(
                    order,
                    interface.Probe | interface.SetTimer | interface.WatchRegistry | interface.LogMessage,
                ):
                    CODEC.format_order(order)
            events.clear()
    assert 500 < refused < 3500


@pytest.mark.parametrize(
    ("order", "text"),
    [
        (interface.SetTableEntry(4, "s-1", 1.5), "SET,4,s-1,1.5"),
        (interface.ClearTable(4), "DEL,4"),
        (interface.SetWithdrawn("s-1", True), "OUT,s-1"),
        (interface.SetWithdrawn("s-1", False), "IN,s-1"),
        (interface.SetAdmission(4, 2, 1, 0.9), "LIMIT,4,pay,0.9,1"),
        (interface.SetAdmission(None, 0, 0, 1.0), "LIMIT,*,*,1,0"),
        (interface.SetAdmission(4, 3, 1, 0.0), "LIMIT,4,look+pay,0,1"),
        (interface.Barrier(905, True), "SYNC,905,1"),
        (interface.Barrier(1, False), "SYNC,1,0"),
    ],
)
def test_orders_are_written(order: interface.Order, text: str) -> None:
    assert CODEC.format_order(order) == text


def test_an_acknowledgement_of_an_earlier_incarnation_is_not_taken_for_a_current_one() -> None:
    before, now = Codec(DEPLOYMENT, 256, 7), Codec(DEPLOYMENT, 256, 40_000)
    assert now.format_order(interface.Barrier(65535, True)) == "SYNC,39999,1"
    assert now.parse_event("ACK", "node=1&nonce=39999&latency=1").barrier == 65535
    late = before.format_order(interface.Barrier(3, True)).split(",")[1]
    controller = Controller(deployment(slices=1, proxies=1), 1, 0)
    controller.turn(0, [interface.ProxyJoined(0, True, "a", 1.0), interface.SliceGrant(0, True)])
    controller.turn(1, [now.parse_event("ACK", f"node=0&nonce={late}&latency=1")])
    assert controller.channel.proxies.joined[0].acknowledged < 0


def test_the_same_events_give_the_same_orders_through_both_fronts() -> None:
    env = json.dumps(
        {
            "grades": [
                {"name": n, "target-us": 1500000, "hard-limit-us": 5000000, "worth": 1.0}
                for n in ("look", "pay")
            ],
            "extra": {
                "key-ranges": 6,
                "data-plane-size": 2,
                "class-writes": [False, True],
                "admit": "fraction",
                "lease-us": 500000,
                "lingers-us": 500000,
                "lines-per-s": 9000,
                "queue-cap": 9000,
                "fixed-cost": 12,
                "report-every-us": 1000000,
                "usual-how": 1,
                "blackhole-us": 14000000,
            },
            "discovery": "subscribe",
            "limits": {"probes": True},
            "rules": {"cold-us": 5000000, "start-capacity": 0.2},
        }
    )
    parsed_settings, chance = settings.read(json.loads(env)), random.Random(8)
    codec, phases = (
        Codec(parsed_settings, 256, 77),
        {"Ready": "live", "Terminating": "quiescing", "Gone": "dead"},
    )
    there, here = Controller(parsed_settings, 9, 0), Controller(parsed_settings, 9, 0)
    now, kinds = 0, set()

    def both(line: str, event: interface.Event | None) -> None:
        lines.append(line)
        events.append(event)

    for number in range(400):
        now += 50 * MS
        lines, events = [], []
        if number % 40 == 1:
            states = ["Ready", "Ready", "Ready", chance.choice(list(phases))]
            born = now // 1000 if number > 200 else 0
            entries = "".join(
                f"\nENTRY\t{n}\ta\tk\t0\t{phases[states[n]]}\t1.0\t{born * 1000}" for n in range(4)
            )
            changes = codec.parse_registry_text(
                listing(
                    *({**MEMBER, "id": f"s-{n}", "phase": states[n], "up_since_ms": born} for n in range(4))
                )
            )
            both(f"TOPOLOGY\t0\tincr\t1\t4{entries}", interface.RegistryUpdate("changes", changes.entries))
        if number % 100 == 2:
            for node in range(2):
                both(
                    f"ENROLLED\t0\t0\t{node}\ta\t5",
                    codec.parse_event("SUBSCRIBE", f"node={node}&locality=a&w=5&cold=0"),
                )
            for n in range(6):
                both(f"GIVEN\t0\t{n}\t1", codec.parse_event("GRANT", f"shard={n}&set=1"))
                both(
                    f"RECORDED\t0\t{n}\t{n % 4}\t1",
                    codec.parse_event("ROW", f"shard={n}&endpoint=s-{n % 4}&w=1"),
                )
        if number % 20 == 3:
            for n in range(4):
                lost, took = chance.randrange(9), chance.randrange(3000)
                both(
                    f"STATS\t0\t{lost}\t9\t{took}000\t1000000\t{n}\ta\t-",
                    report(
                        f"LOAD locality=a endpoint=s-{n} total=9 errors={lost} rtt={took}.0 interval=1000"
                    )[1],
                )
                both(f"CHECK_RESULT\t0\t{n}\t0\t1\t-", interface.ProbeResult(f"s-{n}", 0, 1, None))
            for n in range(6):
                count = chance.randrange(30)
                both(
                    f"PRESSURE\t0\t0\t{n}\t1000000\t{count}\tlook",
                    report(f"SHARD shard={n} route=look total={count} errors=0 interval=1000")[1],
                )
        for order in there.current.orders:
            if isinstance(order, interface.Barrier):
                nonce = codec.format_order(order).split(",")[1]
                for node in range(2):
                    both(
                        f"TOOK_EFFECT\t0\t{order.number}\t{node}\t50000",
                        codec.parse_event("ACK", f"node={node}&nonce={nonce}&latency=50.0"),
                    )
        (batch,) = read_batches(io.StringIO("\n".join((f"SYNC\t{now}\t{number}", *lines, "EOF_BATCH", ""))))
        orders = there.turn(now, [event for _, event in batch.events])
        mine = here.turn(now, events)
        assert [
            order if not hasattr(order, "backend") else order._replace(backend=f"s-{order.backend}")
            for order in orders
            if not isinstance(order, interface.LogMessage)
        ] == [order for order in mine if not isinstance(order, interface.LogMessage)]
        kinds |= {type(order) for order in mine}
    assert kinds >= {
        interface.SetTableEntry,
        interface.ClearTable,
        interface.Barrier,
        interface.SetWithdrawn,
        interface.SetAdmission,
        interface.WatchRegistry,
        interface.Probe,
        interface.SetTimer,
    }


def test_a_call_is_a_form_and_its_answer_a_count_or_a_refusal() -> None:
    assert call_body(["SET,4,s-1,1.5", "DEL,4"]) == b"Action=ApplyOrders&orders=SET%2C4%2Cs-1%2C1.5%3BDEL%2C4"
    answer = (
        b'<?xml version="1.0"?>\n<Response><entries><item><ok_count>2</ok_count></item></entries></Response>'
    )
    assert parse_call_answer(answer) == 2
    for word in ("throttled", "invalid"):
        with pytest.raises(CallRejected, match=word):
            parse_call_answer(f"<Response><error><code>{word}</code></error></Response>".encode())
    for odd in (answer[:50], b"", answer.replace(b"2<", b"x<"), b"<Response/>", b"\xff\xfe", b"{}"):
        with pytest.raises(WireError):
            parse_call_answer(odd)


def test_lines_are_cut_the_same_however_the_bytes_come() -> None:
    chance = random.Random(3)
    text = b"".join(
        bytes(chance.choices(b"ab =\r", k=chance.randrange(12))) + chance.choice((b"\n", b"\r\n"))
        for _ in range(200)
    )
    wanted = [line.removesuffix(b"\r") for line in text.split(b"\n")[:-1]]
    for most in (1, 3, 50, 5000):
        lines, got, at = LineSplitter(100), [], 0
        while at < len(text):
            size = chance.randint(1, most)
            got += [bytes(line) for line in lines.split(text[at : at + size])]
            at += size
        assert got == wanted
    assert (
        isinstance(next(LineSplitter(9).split(piece := b"abc\n")).obj, bytes)
        and next(LineSplitter(9).split(piece)).obj is piece
    )


@pytest.mark.parametrize(
    "pieces", [[b"x" * 11], [b"x" * 6, b"x" * 6], [b"x" * 11 + b"\n"], [b"x" * 9, b"xx\n"]]
)
def test_a_line_without_an_end_is_not_waited_for(pieces: list[bytes]) -> None:
    lines = LineSplitter(10)
    with pytest.raises(LineTooLong):
        for piece in pieces:
            list(lines.split(piece))


odd = some.one_of(
    some.none(),
    some.booleans(),
    some.integers(-5, 1 << 70),
    some.floats(),
    some.text(max_size=5),
    some.lists(some.integers(), max_size=2),
    some.dictionaries(some.text(max_size=2), some.none(), max_size=1),
)


members = some.lists(
    some.one_of(
        odd,
        some.fixed_dictionaries(
            {},
            optional={
                "id": some.one_of(some.sampled_from(["s-1", "s-2", "s-2"]), odd),
                "phase": some.one_of(some.sampled_from(["Ready", "Terminating", "Gone", "Lost"]), odd),
                "locality": some.one_of(some.just("east"), odd),
                "size": some.one_of(some.just(1.0), odd),
                "up_since_ms": some.one_of(some.just(0), odd),
                "host_port": some.one_of(some.just("127.0.0.1:9"), odd),
            },
        ),
    ),
    max_size=6,
)


@drawing(derandomize=True, max_examples=400, deadline=None)
@given(some.one_of(some.integers(0, 9), odd), some.one_of(some.booleans(), odd), some.one_of(members, odd))
def test_each_entry_of_a_list_is_read_or_left_out_and_counted(revision, complete, members) -> None:
    """A list is rejected as a whole or read entry by entry.

    What can't be read passes neither for gone nor for the whole.
    """

    async def read() -> None:
        heard: list[interface.Event] = []
        known = RegistryMessage(5, True, (interface.RegistryEntry("s-0", "east", "ready", 1.0, None),), {}, 0)
        registry = Registry(
            "127.0.0.1:1", known, heard.append, Codec(deployment(), 256), Limits(), Counters()
        )
        try:
            listing = registry.codec.parse_registry_text(
                json.dumps({"revision": revision, "complete": complete, "members": members})
            )
            registry.take(listing)
        except WireError as error:
            assert str(error) and len(heard) == 1, "a rejected list must not be applied in part"
            return
        assert complete in (True, False) and len(listing.entries) + listing.unreadable == len(members)
        assert {entry.state for entry in listing.entries} <= {"ready", "draining", "gone"}
        assert all(
            isinstance(entry.backend, str) and 0 < len(entry.backend) <= 256 for entry in listing.entries
        )
        assert (heard[-1].kind == "whole") == (complete is True and not listing.unreadable)
        assert registry.counters["registry.unreadable"] == listing.unreadable
        Controller(deployment(), 1, 100 * SECOND).turn(100 * SECOND, heard)  # and the controller accepts it

    asyncio.run(read())
