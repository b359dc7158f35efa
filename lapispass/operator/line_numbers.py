"""Finds the line of each field in a protobuf text file, which the library's parser does not record."""

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
    """The line number of each field, from 1, by its path: `gate.listen`, `node[2].address`.

    The first `node` is listed both as `node` and as `node[0]`. The text must be one that the library has
    parsed. A list of values in brackets counts as one field.
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
                valued = token[0] == "["  # a list continues
            case _:
                pass
    return lines
