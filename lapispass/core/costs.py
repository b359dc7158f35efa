"""What a held connection costs its node, learned from how busy nodes really are.

Model: the busy share of a node of weight w is (v / S + sum over classes of n_k q_k) / w, with v the visits
it completes a second, S the visits a second of a node of weight 1 at full work, n_k the connections of
class k that it holds, and q_k the share of a node that one of them takes. 1/S and all q_k are estimated
together by recursive least squares with forgetting (Haykin, Adaptive Filter Theory, chapter on RLS), kept
from falling below nothing. The cost of a connection in visits a second, the module's measure of load, is
q_k S.

Before there is evidence a class costs what the operator file says, or the messages that pass through it: a
message is about a visit's work. The estimate leaves that start as the evidence comes.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

FORGETTING_FACTOR = 0.995  # of the weight of evidence, for each further observation
MIN_UTILIZATION, MAX_UTILIZATION = (
    0.05,
    0.97,
)  # a node with nothing to do, or with too much, tells nothing of the cost


class CostEstimator:
    """The estimate for one fleet."""

    def __init__(self, classes: Sequence[str], start: Mapping[str, float]) -> None:
        self.classes = tuple(classes)
        self.start = dict(start)  # visits a second
        self.messages = dict.fromkeys(classes, 0.0)  # a second through one connection, as gates count
        self.theta: list[float] = []  # 1/S, then q_k
        self.covariance: list[list[float]] = []
        self.observations = 0

    def observe_messages(self, name: str, held: int, messages_per_s: float) -> None:
        """How many messages pass through a class, all gates together."""
        if held > 0 and name in self.messages:
            rate = messages_per_s / held
            self.messages[name] += 0.1 * (rate - self.messages[name])

    def prior(self, name: str) -> float:
        """Visits a second, without evidence from busy shares."""
        return max(self.start.get(name, 0.05), self.messages[name])

    def observe(
        self, busy: float, visits_per_s: float, held: Mapping[str, int], weight: float, warm: bool
    ) -> None:
        """One node's report. Cold nodes are left out: the same work keeps them busier."""
        if not warm or not MIN_UTILIZATION < busy < MAX_UTILIZATION or weight <= 0:
            return
        if not self.theta:
            if visits_per_s <= 0:
                return
            cost = sum(self.prior(name) * held.get(name, 0) for name in self.classes)
            inverse = busy * weight / (visits_per_s + cost)
            self.theta = [inverse, *(inverse * self.prior(name) for name in self.classes)]
            self.covariance = [
                [(value or 1e-9) ** 2 if row == column else 0.0 for column in range(len(self.theta))]
                for row, value in enumerate(self.theta)
            ]
        row = [visits_per_s / weight, *(held.get(name, 0) / weight for name in self.classes)]
        self.update(row, busy)
        self.observations += 1

    def update(self, row: list[float], busy: float) -> None:
        """One step of recursive least squares; the error of a report counts as a tenth of what it says."""
        noise = max(1e-6, (0.1 * busy) ** 2)
        away = [sum(cell * value for cell, value in zip(line, row, strict=True)) for line in self.covariance]
        scale = FORGETTING_FACTOR * noise + sum(value * part for value, part in zip(row, away, strict=True))
        gain = [part / scale for part in away]
        error = busy - sum(value * weight for value, weight in zip(row, self.theta, strict=True))
        self.theta = [max(0.0, old + part * error) for old, part in zip(self.theta, gain, strict=True)]
        size = range(len(row))
        starts = [self.theta[0], *(self.theta[0] * self.prior(name) for name in self.classes)]
        self.covariance = [
            [(self.covariance[i][j] - gain[i] * away[j]) / FORGETTING_FACTOR for j in size] for i in size
        ]
        for (
            place
        ) in size:  # Guards against winding up where a class is never seen: as unsure as at first at most.
            most = 100 * (starts[place] or 1e-9) ** 2
            if self.covariance[place][place] > most:
                shrink = (most / self.covariance[place][place]) ** 0.5
                for other in size:
                    self.covariance[place][other] *= shrink
                    self.covariance[other][place] *= shrink

    def capacity(self) -> float:
        """Visits a second of a node of weight 1 at full work; 0 while unknown."""
        return 1 / self.theta[0] if self.theta and self.theta[0] > 0 else 0.0

    def cost_of(self, name: str) -> float:
        """What one connection of a class costs, in visits a second."""
        if not self.theta or self.theta[0] <= 0 or name not in self.messages:
            return self.prior(name) if name in self.messages else 0.0
        return self.theta[1 + self.classes.index(name)] / self.theta[0]

    def load(self, held: Mapping[str, int]) -> float:
        """All that a node holds, in visits a second."""
        return sum(count * self.cost_of(name) for name, count in held.items())
