"""Which servers are shut out of all tables, and to whom that must be said again."""

from __future__ import annotations

from lapispass import interface
from lapispass.core.messages import SendBudget
from lapispass.core.part import SlicePart
from lapispass.core.units import NEVER
from lapispass.policy.health import Backend
from lapispass.policy.rules import Rules


class Withdrawals(SlicePart[Rules, Backend]):
    """Guards the drain grace where a slice may not open yet; joiners are told again who is out or in."""

    def begin(self) -> None:
        self.repeat_at, self.left_over = 0, False

    def to_repeat(self) -> list[Backend]:
        """Owners that are in, of which joiners may have heard otherwise."""
        out, again = self.shut_out.withdrawn, self.shut_out.to_resend
        owners = self.fleet.in_order(self.holdings.owned)
        return [server for server in owners if server.number not in out and again.has(server)]

    def orders(self, offer: SendBudget) -> list[interface.Order]:
        """So many as fit into the turn; the rest comes first next time."""
        now, noted = self.turn.now, self.shut_out
        self.postpone_repeats()
        # Guards the channel: who is in was said again of all servers at once, every 2 s while proxies joined,
        # and the next withdrawals waited behind that. It takes its time now, a part of what rule 1 allows.
        if now >= self.repeat_at and not noted.resending and (again := self.to_repeat()):
            noted.start_resend(again)
            self.repeat_at = now + self.rules.bare_us // 8
        held_out = [number for number in self.fleet.out if number in self.holdings.owned]
        orders: list[interface.Order] = []
        room, self.left_over = offer.deferrable_lines // 2, False
        for server in self.fleet.in_order({*held_out, *noted.withdrawn, *noted.resending}):
            out, number = server.state == "out", server.number
            if not self.concerns(server, room):
                continue
            # Guards the queue where most of a fleet drains at once; the rest comes first next time.
            if len(orders) >= offer.lines:
                self.left_over = True
                break
            room -= not out and number not in noted.withdrawn
            if noted.record_sent(server, out, offer.barrier, now):
                self.turn.updated_servers.add(number)  # it may be forgotten now
            orders.append(interface.SetWithdrawn(number, out))
        noted.resending -= noted.withdrawn.keys()
        return orders

    def postpone_repeats(self) -> None:
        """Guards the next repeats, which wait for these, against one that leaves and owns no slice."""
        for server in self.fleet.in_order(self.shut_out.resending):
            if server.state == "out" and server.number not in self.holdings.owned:
                self.shut_out.postpone(server.number)

    def concerns(self, server: Backend, room: int) -> bool:
        """Whether it has to be said that a server is out, or in again."""
        number, noted = server.number, self.shut_out
        if server.state == "out":
            return number in self.holdings.owned and (
                number not in noted.withdrawn or noted.to_resend.has(server)
            )
        return number in noted.withdrawn or (number in noted.resending and room > 0)

    def next_due(self) -> int:
        """When there is more to say, without news."""
        if self.left_over or self.shut_out.resending:
            return self.turn.now
        return self.repeat_at if self.to_repeat() else NEVER
