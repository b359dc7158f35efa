"""The share of each request class that is admitted to the owners of slices."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.messages import SendBudget
from lapispass.core.slice_policy import SlicePolicy
from lapispass.core.slices import Level, Slice
from lapispass.core.units import NEVER
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class Admission(SlicePolicy[Rules, Backend]):
    """Admits what each owner can complete, classes of the highest value first; no writes where blocked."""

    def init_state(self) -> None:
        self.next_update_at, self.urgent_pending = 0, False

    def orders(self, budget: SendBudget, urgent_room: int, routine_room: int) -> list[interface.Order]:
        """As many changes of levels as fit: `urgent_room` for urgent ones, `routine_room` for the others.

        The others stay pending.
        """
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
            if len(orders) < (urgent_room if level.urgent else routine_room):
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
        """The changes of levels that should be ordered for a server's slices."""
        slices = list(self.slice_index.by_owner.get(server.number, {}).values())
        rates = {
            name: sum(s.rates.get(name, 0.0) for s in slices) for _, _, name in self.rules.classes_by_value
        }
        requests_per_s, cold = sum(rates.values()), self.rules.uses_shares and not server.warm
        admitted = server.admitted_share if self.rules.uses_shares else 1.0
        if cold:
            admitted = min(
                admitted,
                max(0.0, self.assured_capacity(server) - server.held_load) / max(0.1, requests_per_s),
            )
        remaining, changes = admitted * requests_per_s, []
        for _, class_index, name in self.rules.classes_by_value:
            share = (
                1.0
                if admitted >= 1 or rates[name] <= remaining
                else round(max(0.05, remaining / rates[name]), 2)
            )
            remaining = max(0.0, remaining - rates[name])
            for slice_ in slices:
                wanted = 0.0 if slice_.writes_blocked and class_index in self.rules.write_classes else share
                if level := self.level_change(slice_, class_index, name, wanted, cold):
                    changes.append(level)
        return changes

    @staticmethod
    def level_change(slice_: Slice, class_index: int, name: str, wanted: float, cold: bool) -> Level | None:
        """The change of a class's level, if it is large enough for an order."""
        old = slice_.levels.get(class_index, 1.0)
        urgent = (wanted == 0) != (old == 0) or (cold and wanted < old - 0.1)
        if urgent or (wanted != old and (abs(wanted - old) > 0.15 * old or wanted == 1)):
            gain = abs(wanted - old) * (NEVER if urgent else slice_.rates.get(name, 0.0))
            return Level(gain, urgent, slice_, class_index, wanted)
        return None

    def assured_capacity(self, server: Backend) -> float:
        """The requests a second that a cold server can certainly complete.

        It is a part of what warm servers complete, so that a cold one is not overloaded when it gets slices.
        """
        warm_per_weight = sum(self.fleet.warm_completed_per_s.values()) / max(0.1, self.fleet.warm_weight())
        assured = self.rules.cold_capacity_factor * server.warmth() * server.weight * warm_per_weight
        # Its capacity is known late. But what it has completed since its start it can also complete later,
        # because it warms up.
        if self.turn.now - server.started_at > self.rules.feedback_delay_us and server.admitted_share >= 1:
            assured = min(2 * assured, max(assured, 1.5 * server.completed_per_s))
        return assured
