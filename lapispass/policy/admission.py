"""The shares of each class that the owners of slices let in."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.messages import SendBudget
from lapispass.core.part import SlicePart
from lapispass.core.slices import Level, Slice
from lapispass.core.units import NEVER
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class Admission(SlicePart[Rules, Backend]):
    """Lets in what each owner can complete, the classes of most benefit first; no writes where shut."""

    def begin(self) -> None:
        self.level_at, self.urgent_left = 0, False

    def orders(self, offer: SendBudget, room: int, spare: int) -> list[interface.Order]:
        """So many shares as fit: `room` for urgent ones, `spare` for the others. What is left stays open."""
        due: list[Level] = []
        for server in self.fleet.in_order(self.holdings.unsettled):
            levels = self.levels(server)
            if not levels:
                self.holdings.unsettled.discard(server.number)
            due += [level for level in levels if level.urgent or offer.deferrable_lines]
        due.sort(key=lambda level: -level.gain)
        orders: list[interface.Order] = []
        self.urgent_left = False
        for level in due:
            if len(orders) < (room if level.urgent else spare):
                level.slice_.levels[level.place] = level.share
                orders.append(self.order(level.slice_, level.place, level.share))
            else:
                self.urgent_left |= level.urgent
        if orders:
            self.level_at = self.turn.now + self.rules.pause_us
        return orders

    def order(self, slice_: Slice, place: int, share: float) -> interface.SetAdmission:
        return interface.SetAdmission(
            slice_.number, 1 << place, self.rules.retries[place], share * self.rules.all
        )

    def levels(self, server: Backend) -> list[Level]:
        """What should be ordered for a server's slices."""
        slices = list(self.holdings.owned.get(server.number, {}).values())
        sums = {name: sum(s.rates.get(name, 0.0) for s in slices) for _, _, name in self.rules.classes}
        coming, cold = sum(sums.values()), self.rules.shares and not server.warm
        fit = server.fit if self.rules.shares else 1.0
        if cold:
            fit = min(fit, max(0.0, self.sure(server) - server.held) / max(0.1, coming))
        left, found = fit * coming, []
        for _, place, name in self.rules.classes:
            share = 1.0 if fit >= 1 or sums[name] <= left else round(max(0.05, left / sums[name]), 2)
            left = max(0.0, left - sums[name])
            for slice_ in slices:
                want = 0.0 if slice_.shut and place in self.rules.writes else share
                if level := self.change(slice_, place, name, want, cold):
                    found.append(level)
        return found

    @staticmethod
    def change(slice_: Slice, place: int, name: str, want: float, cold: bool) -> Level | None:
        """A share's change, where it is worth an order."""
        old = slice_.levels.get(place, 1.0)
        urgent = (want == 0) != (old == 0) or (cold and want < old - 0.1)
        if urgent or (want != old and (abs(want - old) > 0.15 * old or want == 1)):
            gain = abs(want - old) * (NEVER if urgent else slice_.rates.get(name, 0.0))
            return Level(gain, urgent, slice_, place, want)
        return None

    def sure(self, server: Backend) -> float:
        """Guards a cold server: a sure part of what warm ones complete, before slices open."""
        usual = sum(self.fleet.paces.values()) / max(0.1, self.fleet.warm_weight())
        sure = self.rules.cold_part * server.warmth() * server.weight * usual
        # What it can do is known late; what it has completed since its start it can do for sure, as it warms.
        if self.turn.now - server.born > self.rules.echo_us and server.fit >= 1:
            sure = min(2 * sure, max(sure, 1.5 * server.pace))
        return sure
