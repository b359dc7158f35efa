"""What a held connection costs its node, estimated from the measured utilization of nodes.

Model: the utilization of a node of weight w is (v / S + sum over classes of n_k q_k) / w. Here v is the
number of requests that it completes per second, S the requests per second of a node of weight 1 at full
load, n_k the number of connections of class k that it holds, and q_k the share of a node that one of them
takes. 1/S and all q_k are estimated together by recursive least squares with forgetting (Haykin, Adaptive
Filter Theory, chapter on RLS), and are not allowed to become negative. The cost of a connection in requests
per second, the controller's unit of load, is q_k S.

Before there is any observation, the cost of a class is the value in the operator file or the rate of messages
through one connection, whichever is greater: a message is about as much work as a request. The estimate moves
away from that initial value as observations come in.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

FORGETTING_FACTOR = 0.995  # factor on the weight of earlier observations, per observation
# Outside these bounds a node is idle or overloaded, and its utilization says nothing about the costs.
MIN_UTILIZATION, MAX_UTILIZATION = 0.05, 0.97


class CostEstimator:
    """The estimates for one fleet of nodes."""

    def __init__(self, classes: Sequence[str], start: Mapping[str, float]) -> None:
        self.classes = tuple(classes)
        self.start = dict(start)  # requests/s
        self.messages = dict.fromkeys(classes, 0.0)  # per second through one connection, as gates report
        self.theta: list[float] = []  # 1/S, then q_k
        self.covariance: list[list[float]] = []
        self.observations = 0

    def observe_messages(self, name: str, held: int, messages_per_s: float) -> None:
        """Takes in the rate of messages through the connections of a class."""
        if held > 0 and name in self.messages:
            rate = messages_per_s / held
            self.messages[name] += 0.1 * (rate - self.messages[name])

    def prior(self, name: str) -> float:
        """The cost of a class in requests/s, before any utilization has been observed."""
        return max(self.start.get(name, 0.05), self.messages[name])

    def observe(
        self, utilization: float, requests_per_s: float, held: Mapping[str, int], weight: float, warm: bool
    ) -> None:
        """Takes in a report of one node. Cold nodes are ignored: the same work uses more of them."""
        if not warm or not MIN_UTILIZATION < utilization < MAX_UTILIZATION or weight <= 0:
            return
        if not self.theta:
            if requests_per_s <= 0:
                return
            cost = sum(self.prior(name) * held.get(name, 0) for name in self.classes)
            inverse = utilization * weight / (requests_per_s + cost)
            self.theta = [inverse, *(inverse * self.prior(name) for name in self.classes)]
            self.covariance = [
                [(value or 1e-9) ** 2 if row == column else 0.0 for column in range(len(self.theta))]
                for row, value in enumerate(self.theta)
            ]
        row = [requests_per_s / weight, *(held.get(name, 0) / weight for name in self.classes)]
        self.update(row, utilization)
        self.observations += 1

    def update(self, row: list[float], utilization: float) -> None:
        """One step of recursive least squares. The error of a report is taken as a tenth of its value."""
        noise = max(1e-6, (0.1 * utilization) ** 2)
        projected = [
            sum(cell * value for cell, value in zip(line, row, strict=True)) for line in self.covariance
        ]
        scale = FORGETTING_FACTOR * noise + sum(
            value * part for value, part in zip(row, projected, strict=True)
        )
        gain = [part / scale for part in projected]
        error = utilization - sum(value * weight for value, weight in zip(row, self.theta, strict=True))
        self.theta = [max(0.0, old + part * error) for old, part in zip(self.theta, gain, strict=True)]
        size = range(len(row))
        starts = [self.theta[0], *(self.theta[0] * self.prior(name) for name in self.classes)]
        self.covariance = [
            [(self.covariance[i][j] - gain[i] * projected[j]) / FORGETTING_FACTOR for j in size] for i in size
        ]
        # Bounds the covariance. Without this it would grow without limit for a class that never occurs.
        for index in size:
            limit = 100 * (starts[index] or 1e-9) ** 2
            if self.covariance[index][index] > limit:
                shrink = (limit / self.covariance[index][index]) ** 0.5
                for other in size:
                    self.covariance[index][other] *= shrink
                    self.covariance[other][index] *= shrink

    def capacity(self) -> float:
        """Requests/s of a node of weight 1 at full load; 0 while unknown."""
        return 1 / self.theta[0] if self.theta and self.theta[0] > 0 else 0.0

    def cost_of(self, name: str) -> float:
        """The cost of one connection of a class, in requests/s."""
        if not self.theta or self.theta[0] <= 0 or name not in self.messages:
            return self.prior(name) if name in self.messages else 0.0
        return self.theta[1 + self.classes.index(name)] / self.theta[0]

    def load(self, held: Mapping[str, int]) -> float:
        """The load of all connections that a node holds, in requests/s."""
        return sum(count * self.cost_of(name) for name, count in held.items())
