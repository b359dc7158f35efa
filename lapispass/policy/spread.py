"""The tables where there are no slices."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from lapispass import interface as face
from lapispass.core.inbox import Mail, Part
from lapispass.core.messages import Offer, Standing
from lapispass.policy.health import LISTED
from lapispass.policy.rules import Rules


class Spread(Part):
    """Where there are no slices: every server in one table a zone and one for all, by listed weight."""

    channel: Part

    def __init__(self, mail: Mail, rules: Rules) -> None:
        super().__init__(mail)
        self.rules = rules
        self.standings: dict[int, Standing] = {}
        self.lines: dict[tuple[int, int], float] = {}
        self.joiners: dict[int, str] = {}

    def take(self, note: Any) -> None:
        match note:
            case Standing(backend):
                self.standings[backend] = note
            case face.Joined(proxy, _, zone, _):
                self.joiners[proxy] = zone
            case face.Left(proxy):
                self.joiners.pop(proxy, None)
            case Offer(lines):
                orders = list(self.changes())[:lines]
                self.lines.update({(order.table, order.backend): order.weight for order in orders})
                for proxy, zone in self.joiners.items():
                    near = self.rules.zone_tables.get(zone, 0)
                    binds = ((0, self.rules.any_zone), (near, self.rules.own_zone))
                    orders += [face.Bind(proxy, table, classes) for table, classes in binds if classes]
                self.joiners.clear()
                if orders:
                    self.mail.post(self.channel, orders)

    def changes(self) -> Iterable[face.Own]:
        """Lines that differ from what stands: a server is in while ready and well, a cold one in part."""
        on = [s for s in self.standings.values() if s.state in LISTED]
        well = {s.zone for s in on if s.state != "ill" and s.warmth >= 1}
        for number, standing in self.standings.items():
            fit = standing in on and not (standing.state == "ill" and standing.zone in well)
            weight = standing.weight * (0.25 * int(4 * standing.warmth) or 0.1) if fit else 0.0
            for table in sorted({0, self.rules.zone_tables.get(standing.zone, 0)}):
                if self.lines.get((table, number), 0.0) != weight:
                    yield face.Own(table, number, weight)
