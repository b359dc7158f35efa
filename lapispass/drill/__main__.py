"""Hosts controllers that share nothing, on the simulator's wire: stdin in, stdout out."""

from __future__ import annotations

import io
import sys
from typing import TextIO

from lapispass.controller import Controller
from lapispass.drill.codec import Batch, Detach, Spawn, WireError, format_order, read_batches


def answer(batch: Batch, hosted: dict[int, Controller]) -> list[str]:
    """Hands each instance its events, in order, and gathers the reply's lines."""
    lines: list[str] = []
    told: dict[int, list] = {}

    def hand_over(who: int) -> None:
        events = told.pop(who, None)
        if events is None:
            return
        try:
            lines.extend(format_order(who, order) for order in hosted[who].turn(batch.now, events))
        except Exception as error:  # the wire wants every failure of the decisions told as PANIC
            place = error.__traceback__
            while place is not None and place.tb_next is not None:
                place = place.tb_next
            where = f" at line {place.tb_lineno}" if place is not None else ""
            reason = f"{type(error).__name__}{where}: {error}".replace("\n", " ")
            lines.append(f"PANIC\t{who}\t{reason}\n")

    for who, news in batch.events:
        match news:
            case Spawn():
                hand_over(who)
                hosted[who] = Controller(news.deployment, news.seed, batch.now)
                told[who] = []
            case Detach():
                told.pop(who, None)  # a killed instance acts no more
                if hosted.pop(who, None) is None:
                    raise WireError(f"round {batch.round_number}: DETACH for unknown instance {who}")
            case _:
                if who not in hosted:
                    raise WireError(f"round {batch.round_number}: event for unknown instance {who}")
                told.setdefault(who, []).append(news)
    for who in list(told):
        hand_over(who)
    lines.append(f"NEXT\t{batch.round_number}\n")
    return lines


def main(source: TextIO, sink: TextIO, complaints: TextIO) -> int:
    hosted: dict[int, Controller] = {}
    try:
        for batch in read_batches(source):
            sink.write("".join(answer(batch, hosted)))
            sink.flush()
    except (WireError, UnicodeDecodeError) as error:
        print(f"lapispass.drill: {error}", file=complaints)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(
        main(
            io.TextIOWrapper(sys.stdin.buffer, "utf-8", newline="\n"),
            io.TextIOWrapper(sys.stdout.buffer, "utf-8", newline="\n"),
            sys.stderr,
        )
    )
