"""Where each field of a protobuf text file stands: the library's own parse keeps no lines."""

from __future__ import annotations

import re

TOKEN = re.compile(
    r"""
    (?P<skip>[ \t\r,;]+|\#[^\n]*) | (?P<line>\n) | (?P<name>[A-Za-z_][\w.]*)
    | (?P<number>-?[0-9.][\w.+-]*) | (?P<open>[{<]) | (?P<close>[}>])
    | (?P<colon>:) | (?P<text>"(?:\\.|[^"\\\n])*"|'(?:\\.|[^'\\\n])*') | (?P<other>.)""",
    re.X,
)


def line_numbers(text: str) -> dict[str, int]:
    """The line, from 1, of each field by its path, as in `gate.listen` or `node[2].address` (`node` is the
    first).

    Expects a text that the library has parsed; list values in brackets count as one field.
    """
    lines: dict[str, int] = {}
    stack: list[tuple[str, dict[str, int]]] = [("", {})]
    line, name, valued = 1, "", False
    for token in TOKEN.finditer(text):
        match token.lastgroup:
            case "line":
                line += 1
            case "name" if not valued:
                path, counts = stack[-1]
                name = token[0]
                number = counts.get(name, 0)
                counts[name] = number + 1
                prefix = f"{path}.{name}" if path else name
                lines[f"{prefix}[{number}]"] = line
                lines.setdefault(f"{prefix}[{number}]".replace("[0]", ""), line)
                name, valued = f"{prefix}[{number}]", True
            case "open":
                stack.append((name, {}))
                valued = False
            case "close":
                if len(stack) > 1:
                    stack.pop()
                valued = False
            case "name" | "text" | "number" | "other":
                valued = token[0] == "["  # a list goes on
            case _:
                pass
    return lines
