"""Which servers are withdrawn from all tables, and which orders must be repeated for proxies that join."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.messages import SendBudget
from lapispass.core.slice_policy import SlicePolicy
from lapispass.core.units import NEVER
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class Withdrawals(SlicePolicy[Rules, Backend]):
    """Withdraws draining owners, and lets servers in again.

    A withdrawal keeps the drain grace where a slice may not be handed over yet. Orders are repeated for
    proxies that have joined since, as they may have missed them.
    """

    def init_state(self) -> None:
        self.next_repeat_at, self.has_more = 0, False

    def to_repeat(self) -> list[Backend]:
        """Owners that are not withdrawn, but which proxies that joined may still keep withdrawn."""
        out, again = self.withdrawn_servers.withdrawn, self.withdrawn_servers.to_resend
        owners = self.fleet.in_order(self.slice_index.by_owner)
        return [server for server in owners if server.number not in out and again.has(server)]

    def orders(self, budget: SendBudget) -> list[interface.Order]:
        """As many orders as fit into the message; the others come first in the next one."""
        now, withdrawn_servers = self.turn.now, self.withdrawn_servers
        self.postpone_repeats()
        # Repeats are spread over time, over a part of what rule 1 allows. They were once sent for all servers
        # together, every 2 s while proxies joined, and the next withdrawals had to wait behind them.
        if now >= self.next_repeat_at and not withdrawn_servers.resending and (again := self.to_repeat()):
            withdrawn_servers.start_resend(again)
            self.next_repeat_at = now + self.rules.unserved_limit_us // 8
        withdrawn_owners = [number for number in self.fleet.draining if number in self.slice_index.by_owner]
        orders: list[interface.Order] = []
        room, self.has_more = budget.deferrable_lines // 2, False
        for server in self.fleet.in_order(
            {*withdrawn_owners, *withdrawn_servers.withdrawn, *withdrawn_servers.resending}
        ):
            out, number = server.state == "draining", server.number
            if not self.needs_order(server, room):
                continue
            # If most of a fleet drains at once, the orders must not overfill the queue.
            if len(orders) >= budget.lines:
                self.has_more = True
                break
            room -= not out and number not in withdrawn_servers.withdrawn
            if withdrawn_servers.record_sent(server, out, budget.barrier, now):
                self.turn.updated_servers.add(number)  # it may be forgotten from now on
            orders.append(interface.SetWithdrawn(number, out))
        withdrawn_servers.resending -= withdrawn_servers.withdrawn.keys()
        return orders

    def postpone_repeats(self) -> None:
        """Takes servers that leave and own no slice off the pending repeats.

        The next repeats wait for the pending ones, and such a server would hold them up.
        """
        for server in self.fleet.in_order(self.withdrawn_servers.resending):
            if server.state == "draining" and server.number not in self.slice_index.by_owner:
                self.withdrawn_servers.postpone(server.number)

    def needs_order(self, server: Backend, room: int) -> bool:
        """Whether a withdrawal of this server, or its end, has to be ordered."""
        number, withdrawn_servers = server.number, self.withdrawn_servers
        if server.state == "draining":
            return number in self.slice_index.by_owner and (
                number not in withdrawn_servers.withdrawn or withdrawn_servers.to_resend.has(server)
            )
        return number in withdrawn_servers.withdrawn or (number in withdrawn_servers.resending and room > 0)

    def next_due(self) -> int:
        """When more orders are due without an event."""
        if self.has_more or self.withdrawn_servers.resending:
            return self.turn.now
        return self.next_repeat_at if self.to_repeat() else NEVER
