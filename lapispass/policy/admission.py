"""The shares of each class that the owners of slices let in."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.messages import SendBudget
from lapispass.core.slice_policy import SlicePolicy
from lapispass.core.slices import Level, Slice
from lapispass.core.units import NEVER
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class Admission(SlicePolicy[Rules, Backend]):
    """Lets in what each owner can complete, the classes of most benefit first; no writes where shut."""

    def init_state(self) -> None:
        self.next_update_at, self.urgent_pending = 0, False

    def orders(self, budget: SendBudget, room: int, spare: int) -> list[interface.Order]:
        """So many shares as fit: `room` for urgent ones, `spare` for the others. What is left stays open."""
        due: list[Level] = []
        for server in self.fleet.in_order(self.slice_index.admission_pending):
            levels = self.levels(server)
            if not levels:
                self.slice_index.admission_pending.discard(server.number)
            due += [level for level in levels if level.urgent or budget.deferrable_lines]
        due.sort(key=lambda level: -level.gain)
        orders: list[interface.Order] = []
        self.urgent_pending = False
        for level in due:
            if len(orders) < (room if level.urgent else spare):
                level.slice_.levels[level.class_index] = level.share
                orders.append(self.order(level.slice_, level.class_index, level.share))
            else:
                self.urgent_pending |= level.urgent
        if orders:
            self.next_update_at = self.turn.now + self.rules.update_interval_us
        return orders

    def order(self, slice_: Slice, class_index: int, share: float) -> interface.SetAdmission:
        return interface.SetAdmission(
            slice_.number, 1 << class_index, self.rules.retries[class_index], share * self.rules.admit_all
        )

    def levels(self, server: Backend) -> list[Level]:
        """What should be ordered for a server's slices."""
        slices = list(self.slice_index.by_owner.get(server.number, {}).values())
        sums = {
            name: sum(s.rates.get(name, 0.0) for s in slices) for _, _, name in self.rules.classes_by_value
        }
        coming, cold = sum(sums.values()), self.rules.uses_shares and not server.warm
        fit = server.admitted_share if self.rules.uses_shares else 1.0
        if cold:
            fit = min(fit, max(0.0, self.assured_capacity(server) - server.held_load) / max(0.1, coming))
        left, found = fit * coming, []
        for _, class_index, name in self.rules.classes_by_value:
            share = 1.0 if fit >= 1 or sums[name] <= left else round(max(0.05, left / sums[name]), 2)
            left = max(0.0, left - sums[name])
            for slice_ in slices:
                want = 0.0 if slice_.writes_blocked and class_index in self.rules.write_classes else share
                if level := self.level_change(slice_, class_index, name, want, cold):
                    found.append(level)
        return found

    @staticmethod
    def level_change(slice_: Slice, class_index: int, name: str, want: float, cold: bool) -> Level | None:
        """A share's change, where it is worth an order."""
        old = slice_.levels.get(class_index, 1.0)
        urgent = (want == 0) != (old == 0) or (cold and want < old - 0.1)
        if urgent or (want != old and (abs(want - old) > 0.15 * old or want == 1)):
            gain = abs(want - old) * (NEVER if urgent else slice_.rates.get(name, 0.0))
            return Level(gain, urgent, slice_, class_index, want)
        return None

    def assured_capacity(self, server: Backend) -> float:
        """Guards a cold server: a sure part of what warm ones complete, before slices open."""
        usual = sum(self.fleet.warm_completed_per_s.values()) / max(0.1, self.fleet.warm_weight())
        assured_capacity = self.rules.cold_capacity_factor * server.warmth() * server.weight * usual
        # What it can do is known late; what it has completed since its start it can do for sure, as it warms.
        if self.turn.now - server.started_at > self.rules.feedback_delay_us and server.admitted_share >= 1:
            assured_capacity = min(2 * assured_capacity, max(assured_capacity, 1.5 * server.completed_per_s))
        return assured_capacity
