"""Hosts controllers for the simulator, over its wire on stdin and stdout. They share no state."""

from __future__ import annotations

import io
import sys
from typing import TextIO

from lapispass.controller import Controller
from lapispass.drill.codec import Batch, Detach, Spawn, WireError, format_order, read_batches


def answer(batch: Batch, hosted: dict[int, Controller]) -> list[str]:
    """Passes each instance its events in order; returns the lines of the reply."""
    lines: list[str] = []
    pending: dict[int, list] = {}

    def run_turn(instance: int) -> None:
        events = pending.pop(instance, None)
        if events is None:
            return
        try:
            lines.extend(format_order(instance, order) for order in hosted[instance].turn(batch.now, events))
        except Exception as error:  # the wire reports every failure of a controller as PANIC
            frame = error.__traceback__
            while frame is not None and frame.tb_next is not None:
                frame = frame.tb_next
            where = f" at line {frame.tb_lineno}" if frame is not None else ""
            reason = f"{type(error).__name__}{where}: {error}".replace("\n", " ")
            lines.append(f"PANIC\t{instance}\t{reason}\n")

    for instance, event in batch.events:
        match event:
            case Spawn():
                run_turn(instance)
                hosted[instance] = Controller(event.deployment, event.seed, batch.now)
                pending[instance] = []
            case Detach():
                pending.pop(instance, None)  # a killed instance does nothing more
                if hosted.pop(instance, None) is None:
                    raise WireError(f"round {batch.round_number}: DETACH for unknown instance {instance}")
            case _:
                if instance not in hosted:
                    raise WireError(f"round {batch.round_number}: event for unknown instance {instance}")
                pending.setdefault(instance, []).append(event)
    for instance in list(pending):
        run_turn(instance)
    lines.append(f"NEXT\t{batch.round_number}\n")
    return lines


def main(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answers rounds until the end of input; returns the exit code.

    The code is 2 after malformed input, and 1 if the run is interrupted or the output was closed.
    """
    hosted: dict[int, Controller] = {}
    try:
        for batch in read_batches(source):
            sink.write("".join(answer(batch, hosted)))
            sink.flush()
    except (WireError, UnicodeDecodeError) as error:
        print(f"lapispass.drill: {error}", file=errors)
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
