"""One held connection, served by one task: forwarding, moves to other nodes, and an orderly close."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol

from wsproto.events import CloseConnection, Event, Message, Ping, Pong

from lapispass.core.admission import Refused
from lapispass.core.connections import HeldConnection
from lapispass.core.memory_budget import FREE_BYTES, MemoryAccount
from lapispass.core.outstanding_answers import WaitState
from lapispass.core.shared_types import NEVER
from lapispass.gate import close_codes
from lapispass.gate.answer_watch import AnswerWatch, PendingClose
from lapispass.gate.evented_reader import EventedReader
from lapispass.gate.frames import PeerFailure, Side
from lapispass.gate.handshake import Accepted, return_delay_us
from lapispass.gate.host import GateHost
from lapispass.gate.move import Move, MoveFailed

# Handled from one side, of one read, before the other side and other connections are served.
MAX_EVENTS_PER_PASS = 8


@dataclass(slots=True)
class CloseHandshake:
    """The close handshake under way: first with the client (step 'client'), then with the node (step
    'node')."""

    step: str
    until: int


class TunnelHost(GateHost, Protocol):
    """What a tunnel needs from its gate."""

    def opened(self, tunnel: Tunnel) -> None:
        """The connection to the node is open."""

    def closed(self, tunnel: Tunnel, marks: list[int]) -> None:
        """The connection has ended. `marks` are of the barriers that can be acknowledged now."""

    def acknowledge(self, marks: list[int]) -> None:
        """Acknowledges the barriers with these marks."""


class Tunnel:
    """The tunnel between one client and its node. The gate's steering makes the decisions; this class moves
    the bytes."""

    __slots__ = (
        "account",
        "client",
        "clock",
        "closing",
        "discarding",
        "end_reason",
        "finished",
        "gate",
        "head_bytes",
        "held",
        "lacks_memory",
        "limits",
        "move",
        "node",
        "opener",
        "pending_close",
        "pending_message",
        "proof",
        "proof_until",
        "proof_written",
        "protocol",
        "release",
        "wake",
    )

    def __init__(
        self,
        gate: TunnelHost,
        reader: EventedReader,
        writer: asyncio.StreamWriter,
        accepted: Accepted,
        account: MemoryAccount,
    ) -> None:
        self.account, self.head_bytes = account, accepted.head_bytes
        self.lacks_memory = False  # it is read again when others hold less, or its own peer has read
        self.gate, self.limits, self.clock, self.wake = gate, gate.limits, gate.clock, reader.wake
        now = self.clock.now()
        self.client = Side("screen", reader, writer, accepted.early, now, self.limits.buffer_bytes)
        self.node: Side | None = accepted.node
        self.protocol, self.opener = accepted.protocol, accepted.opener
        self.held: HeldConnection = gate.steering.established(now, accepted.kind, accepted.go, accepted.key)
        self.pending_message: Message[Any] | None = None  # a client's message that may not be sent on yet
        self.move: Move | None = None
        self.pending_close: PendingClose | None = None
        self.closing: CloseHandshake | None = None
        self.finished, self.end_reason = False, "broken"
        self.discarding = False  # after the gate's own close: messages that may not be sent are dropped
        self.release = ""  # 'move' or 'close', as ordered by the steering
        self.proof = 0  # token of the ping whose answer shows that the node has read everything
        self.proof_until = 0
        self.proof_written = 0

    async def run(self) -> None:
        """Serves the connection from the upgrade to its last byte."""
        self.gate.opened(self)
        try:
            while not self.finished:
                self.wake.clear()
                now = self.clock.now()
                self.lacks_memory = False
                await self.read_client(now)
                await self.read_node(now)
                self.count_memory(now)
                self.act(now)
                if not self.finished:
                    await self.wait(now)
        finally:
            self.tear_down()

    # forwarding

    async def read_client(self, now: int) -> None:
        """Forwards what the client sends to the node, as far as the node reads and the tables allow."""
        client, has_read = self.client, False
        for _ in range(MAX_EVENTS_PER_PASS):
            if self.finished or (self.node is not None and not self.may_fill(self.node)):
                return
            event: Event | None = self.pending_message or client.next_event()
            if event is None:
                if client.reader.unread and not client.got_close:
                    if has_read:
                        break
                    has_read = True
                    client.feed(await client.reader.read(self.limits.read_bytes), now)
                    continue
                if client.ended and not client.got_close:
                    self.client_lost(now)
                return
            match event:
                case Message():
                    if self.discarding or (
                        self.closing and not client.mid_message and not self.may_begin(now)
                    ):
                        # This message cannot be sent any more. If it were kept, the client's own close frame
                        # behind it would never be read. The client has been sent a close frame, so it knows
                        # that the message was not accepted.
                        self.discarding, self.pending_message, self.held.write_blocked = True, None, False
                        continue
                    if not client.mid_message and not self.may_begin(now):
                        self.pending_message, self.held.write_blocked = event, True
                        return
                    self.pending_message, self.held.write_blocked = None, False
                    self.forward_to_node(event, now)
                case Ping():
                    client.send(event.response())
                case Pong():
                    client.on_pong(event)
                case CloseConnection(code=code, reason=reason):
                    self.client_closed(int(code), reason, now)
        self.wake.set()  # there may be more input

    def may_fill(self, side: Side) -> bool:
        """Whether more may be read for a side. What is unsent to it already waits for memory where there is
        none for a further read."""
        if side.full:
            return False
        if side.unsent_bytes and self.gate.memory.room_bytes() < self.limits.read_bytes:
            self.lacks_memory = True
            return False
        return True

    def count_memory(self, now: int) -> None:
        """States what is held for this connection: the head of its request, for moves, and what is unsent.

        If there is no room for that, and a peer does not read, the client is told when to come back.
        """
        sides = [self.client] if self.node is None else [self.client, self.node]
        if self.account.hold(self.head_bytes + sum(side.held_bytes for side in sides)):
            return
        self.lacks_memory = True
        if self.closing is None and any(side.unsent_bytes > FREE_BYTES for side in sides):
            self.gate.counters["screens.over_memory"] += 1
            self.end_reason = "no memory"
            self.close_with_retry_delay(close_codes.TRY_AGAIN_LATER, now)

    def may_begin(self, now: int) -> bool:
        """Whether a new message of the client may be sent to the node now, by the tables and a move or close
        under way."""
        is_switching = self.move is not None and (self.move.step != "opening" or self.node is None)
        is_switching = is_switching or self.pending_close is not None
        return (
            self.node is not None
            and not is_switching
            and self.node.can_send
            and self.gate.steering.may_write(now, self.held)
        )

    def forward_to_node(self, event: Message[Any], now: int) -> None:
        """Forwards a message or a fragment. All fragments of a message go to the same node."""
        if not self.client.count_fragment(event, self.limits.message_bytes):
            self.close(1009, "message too long", now)
            return
        if self.node is None or not self.node.forward(event):
            self.held.in_message = True  # the rest of this message reaches no node
            return
        self.held.in_message = self.client.mid_message
        self.count_memory(now)
        self.gate.steering.message_written(now, self.held, len(event.data), event.message_finished)
        self.gate.counters["messages.up"] += event.message_finished

    async def read_node(self, now: int) -> None:
        """Forwards what the node sends to the client."""
        node, has_read = self.node, False
        for _ in range(MAX_EVENTS_PER_PASS):
            if self.finished or node is None or node is not self.node or not self.may_fill(self.client):
                return
            event = node.next_event()
            if event is None:
                if node.reader.unread and not node.got_close:
                    if has_read:
                        break
                    has_read = True
                    node.feed(await node.reader.read(self.limits.read_bytes), now)
                    continue
                if node.ended and not node.got_close:
                    self.node_lost("ended without a close frame", now)
                return
            match event:
                case Message():
                    if not node.count_fragment(event, self.limits.message_bytes):
                        self.close(1009, "message too long", now)
                        return
                    self.client.forward(event)
                    self.count_memory(now)
                    self.gate.steering.message_received(
                        now, self.held, len(event.data), event.message_finished
                    )
                    if (watch := self.answer_watch()) is not None:
                        watch.wait.message_received()
                    self.gate.counters["messages.down"] += event.message_finished
                case Ping():
                    node.send(event.response())
                case Pong():
                    node.on_pong(event)
                case CloseConnection(code=code, reason=reason):
                    self.node_closed(int(code), reason, now)
        self.wake.set()

    # the end of either side

    def client_closed(self, code: int, reason: str | None, now: int) -> None:
        """Answers the client's close frame and closes the node's side. An invalid frame also gives a close
        event, with its error code."""
        self.client.close(close_codes.forwarded(code, 1000))
        if self.closing is None:
            self.end_reason = (
                "screen closed" if code not in close_codes.PROTOCOL_ERRORS else "screen sent junk"
            )
        self.close_node(close_codes.forwarded(code, 1000), now)

    def client_lost(self, now: int) -> None:
        if self.closing is None:
            self.end_reason = "screen lost"
        self.close_node(close_codes.LEAVING_GATE, now)

    def close_node(self, code: int, now: int) -> None:
        """Starts the close handshake with the node, the second half of every end. The node's answer shows
        that it has read everything."""
        self.drop_move()
        self.pending_close = None
        if self.node is None or self.node.got_close:
            self.finished = True
            return
        self.node.close(code)
        self.closing = CloseHandshake("node", now + self.limits.close_us)

    def node_closed(self, code: int, reason: str | None, now: int) -> None:
        """Handles a node's close frame. A node that has sent one reads no further messages."""
        node = self.node
        assert node is not None
        node.close(close_codes.forwarded(code, 1000))
        if self.closing is not None and self.closing.step == "node":
            self.proven()
            self.finished = True
        elif self.move is not None and self.move.step == "parting":
            self.switch(now)
        elif code in close_codes.LEAVING:
            self.node_lost(f"closed with code {code}", now)
        else:
            self.end_reason = "node closed"
            self.node = None
            node.close_after_flush(self.limits.close_us / 1e6)
            code = close_codes.forwarded(code, 1000 if code == close_codes.NONE else 1011)
            self.close(code, reason or "", now)

    def node_lost(self, why: str, now: int) -> None:
        """The node is gone without a close frame, or is leaving. Messages that it may or may not have read
        are never sent again."""
        gate, held, node = self.gate, self.held, self.node
        gate.counters["nodes.lost"] += 1
        cut_short = (
            held.unconfirmed
            or held.in_message
            or (node is not None and node.mid_message)
            or gate.steering.may_owe_answer(now, held)
        )
        if node is not None:
            node.reset()  # nothing more reaches the node, which is as good as read for rule 2
        self.node = None
        self.proof, self.proof_until = 0, 0
        gate.acknowledge(gate.steering.node_disconnected(held))
        if self.closing is not None:
            if self.closing.step == "node":
                self.finished = True
            return
        if (
            self.move is not None
            and self.move.step != "opening"
            and not cut_short
            and self.move.new is not None
        ):
            self.switch(now)  # the old node had read everything before it was lost
            return
        if held.kind.movable and not cut_short and self.move is None and self.pending_close is None:
            self.begin_move(now)
        if self.move is None or cut_short:
            self.drop_move()
            gate.log.rate_limited("node lost", node=held.node, why=why)
            self.end_reason = "node lost"
            pending = self.pending_close
            self.close_with_retry_delay(close_codes.RESTARTING if pending is None else pending.code, now)

    # moves and closes that the gate asks for

    def act(self, now: int) -> None:
        """Handles orders, fences, moves and time limits that are due."""
        if self.finished:
            return
        self.follow_release(now)
        self.advance_fence_and_move(now)
        if self.pending_close is not None:
            self.advance_pending_close(self.pending_close, now)
        if not self.finished:
            self.check_deadline(now)
        if not self.finished:
            self.check_peers(now)
        if not self.finished:
            self.check_times(now)

    def follow_release(self, now: int) -> None:
        """Starts the move or close that the steering has ordered."""
        is_leaving = self.move is not None or self.pending_close is not None or self.closing is not None
        if not self.release or is_leaving:
            return
        action, self.release = self.release, ""
        if action == "move" and self.node is not None:
            self.begin_move(now)
        elif action == "close":
            self.close_when_answered(close_codes.RESTARTING, "closed in order", now)

    def advance_fence_and_move(self, now: int) -> None:
        """Advances the fence, if one is open, and the move under way."""
        if self.proof_until and self.node is not None:
            self.advance_fence(self.node, now)
        if self.move is not None:
            self.advance_move(self.move, now)

    def check_peers(self, now: int) -> None:
        """Pings a peer that is silent, and ends one that does not read or answer."""
        for side in (self.client, self.node):
            if side is None or self.finished:
                continue
            if (failure := side.check(now, self.limits)) is not None:
                self.gate.counters[f"{side.name}s.{failure.name.lower()}"] += 1
                self.peer_failed(side, failure, now)

    def check_times(self, now: int) -> None:
        """Checks the idle time-out and the time limit of a close handshake."""
        if self.is_idle(now):
            self.end_reason = "idle"
            self.close(1000, "idle", now)
        if self.closing is None or now < self.closing.until:
            return
        if self.closing.step == "client":  # no answer from the client: the node is closed all the same
            self.gate.counters["screens.close_unanswered"] += 1
            self.close_node(close_codes.LEAVING_GATE, now)
        else:
            self.finished = True

    def is_idle(self, now: int) -> bool:
        """Whether no message has passed for the idle time-out, and none is due that is not given up."""
        idle_us, idle_for = self.limits.idle_us, now - self.held.last_message_us
        if not idle_us or idle_for <= idle_us or self.closing is not None or self.move is not None:
            return False
        steering = self.gate.steering
        is_answer_due = steering.may_owe_answer(now, self.held) and idle_for < steering.patience_us
        return self.pending_close is None and not is_answer_due

    def peer_failed(self, side: Side, failure: PeerFailure, now: int) -> None:
        """Handles a peer that does not read or answer: it counts as gone."""
        if side is self.client and failure is PeerFailure.SILENT and self.pending_message is not None:
            # Its pongs are not read either while its message waits, so nothing shows that it is gone.
            self.end_reason = "message waited too long"
            self.close_with_retry_delay(close_codes.RESTARTING, now)
        elif side is self.client:
            side.writer.transport.abort()
            self.end_reason = f"screen {failure}"
            self.close_node(close_codes.LEAVING_GATE, now)
        else:
            self.node_lost(failure, now)

    def start_fence(self, now: int, until: int = NEVER) -> None:
        """Opens a fence: the tables have changed, so the node has to show that it has read everything that
        was written under the older ones."""
        self.proof = 0  # a ping that is under way may be older than the last message
        self.proof_until = min(self.proof_until or now + self.limits.fence_us, until)
        self.wake.set()

    def advance_fence(self, node: Side, now: int) -> None:
        """Sends a ping after the last message and checks for its answer. A node that does not answer in time
        is disconnected."""
        if not self.proof and not self.held.in_message and not node.sent_close:
            self.proof, self.proof_written = node.ping(now), self.held.written
        if self.proof and node.acked_token >= self.proof:
            self.proven(self.proof_written)
        elif now >= self.proof_until:
            self.gate.counters["fences.cut"] += 1
            self.gate.log.rate_limited(
                "node did not confirm in time that it has read everything", node=self.held.node
            )
            self.node_lost("did not confirm in time that it has read everything", now)

    def proven(self, written: int | None = None) -> None:
        """The node has read this number of messages and fragments; without a number, all that were
        written."""
        self.proof, self.proof_until = 0, 0
        self.gate.counters["fences.proven"] += 1
        self.gate.acknowledge(
            self.gate.steering.read_confirmed(self.held, self.held.written if written is None else written)
        )

    def begin_move(self, now: int) -> None:
        """Starts to connect to the new node, while the old node serves on."""
        target = self.gate.steering.move_target(now, self.held)
        if isinstance(target, Refused):
            self.gate.steering.cancel_release(self.held)
            return
        self.gate.steering.begin_release(now, self.held)
        opening = asyncio.get_running_loop().create_task(self.opener.open(target))
        opening.add_done_callback(lambda _: self.wake.set())
        self.move = Move(target, opening)

    def advance_move(self, move: Move, now: int) -> None:
        """Takes the move through its steps, each of which has a time limit."""
        held, limits = self.held, self.limits
        if move.step == "opening":
            try:
                if not move.take_opened(self.protocol, now + limits.fence_us):
                    return
            except MoveFailed as error:
                self.move_failed(str(error), now)
                return
            if self.node is None:
                self.switch(now)
                return
        if self.node is None:
            return
        if move.step == "stopping" and not held.in_message:
            move.start_answering(self.watch_answers(now, needs_proof=True))
        if move.step == "answering":
            self.advance_answering(move, self.node, now)
            if self.move is not move:
                return
        move.close_when_quiet(self.node, held, now, limits)
        if now >= move.until:
            self.gate.counters["moves.broken"] += 1
            self.node_lost(f"move timed out in step {move.step}", now)

    def advance_answering(self, move: Move, old: Side, now: int) -> None:
        """Waits for the answers that the old node may owe. Where they are late, the client is closed in order
        once they have come: it is not known then whether that was all."""
        watch = move.watch
        assert watch is not None
        was_probed = watch.wait.is_probed
        state = watch.advance(old, now)
        if watch.wait.is_probed and not was_probed:
            self.proven()
        if state is WaitState.SETTLED:
            move.start_quieting(now + self.limits.quiet_us)
        elif state is WaitState.LATE or self.is_waiting_in_vain(watch, now):
            self.close_when_answered(close_codes.RESTARTING, "closed in order", now)

    def watch_answers(self, now: int, needs_proof: bool) -> AnswerWatch:
        """Begins to wait for the answers that the node may owe."""
        steering, probe_interval_us = self.gate.steering, self.limits.quiet_us
        return AnswerWatch(steering.wait_for_answers(now, self.held, probe_interval_us, needs_proof))

    def answer_watch(self) -> AnswerWatch | None:
        """The wait for the node's answers that is under way."""
        if self.pending_close is not None:
            return self.pending_close.watch
        return self.move.watch if self.move is not None and self.move.step == "answering" else None

    def is_waiting_in_vain(self, watch: AnswerWatch, now: int) -> bool:
        """Whether late answers are not waited for any more: they are given up, or the client already asks for
        more, which this node will not be sent."""
        wait = watch.wait
        if wait.state(now) is WaitState.LATE and wait.is_given_up(now):
            return True
        return self.pending_message is not None and wait.is_overdue(now)

    def close_when_answered(self, code: int, end_reason: str, now: int, leave_by: int = NEVER) -> None:
        """Closes the client's connection in order once its node owes it nothing, by the deadline of the
        release at the latest. From now on no message of the client begins."""
        if self.closing is not None:
            return
        watch = self.answer_watch()
        if self.held.releasing:
            leave_by = min(leave_by, self.held.leave_by_us)
        self.drop_move()
        self.gate.steering.begin_release(now, self.held, leave_by)
        self.pending_close = PendingClose(code, end_reason, watch)
        self.wake.set()

    def advance_pending_close(self, pending: PendingClose, now: int) -> None:
        """Closes the client's connection if nothing is waited for any more."""
        node = self.node
        if node is None or node.sent_close:
            self.close_now(now)
            return
        if self.held.in_message:
            return
        if pending.watch is None:
            pending.watch = self.watch_answers(now, needs_proof=False)
        state = pending.watch.advance(node, now)
        is_answered = state is WaitState.SETTLED and not node.mid_message
        if is_answered or self.is_waiting_in_vain(pending.watch, now):
            self.close_now(now)

    def close_now(self, now: int) -> None:
        """Closes the client's connection with a time to come back, whatever its node still owes."""
        if self.closing is not None:
            return
        pending = self.pending_close
        # A message that was held back is not accepted any more: its answer could not reach the client.
        self.discarding = not self.client.mid_message
        self.end_reason = "closed in order" if pending is None else pending.end_reason
        self.close_with_retry_delay(close_codes.RESTARTING if pending is None else pending.code, now)

    def check_deadline(self, now: int) -> None:
        """Ends a release that has not ended by its deadline."""
        if self.closing is not None or (self.move is None and self.pending_close is None):
            return
        if now < self.gate.steering.leave_by(self.held):
            return
        if self.move is not None and self.move.step == "parting":
            self.gate.counters["moves.broken"] += 1
            self.node_lost("has not closed by the deadline", now)  # it owes nothing any more
        else:
            self.close_now(now)

    def move_failed(self, why: str, now: int) -> None:
        """The new node did not accept the connection. The old node serves on; if it is gone, the client is
        closed with a time to come back."""
        assert self.move is not None
        self.gate.counters["moves.failed"] += 1
        self.gate.log.rate_limited("move failed", node=self.move.go.node, why=why)
        self.drop_move()
        self.held.failed_moves += 1
        if self.node is None:
            self.end_reason = "node lost"
            self.close_with_retry_delay(close_codes.RESTARTING, now)

    def drop_move(self) -> None:
        """Abandons the move and gives back the capacity reserved at the new node."""
        if self.move is None:
            return
        move, self.move = self.move, None
        move.abandon()
        self.gate.steering.admission_failed(move.go.node)
        self.gate.steering.cancel_release(self.held)

    def switch(self, now: int) -> None:
        """Switches to the new node, on a message boundary in both directions, after the old node has
        closed."""
        move, old = self.move, self.node
        assert move is not None and move.new is not None
        self.move, self.node = None, move.new
        if old is not None:
            old.close_after_flush(self.limits.close_us / 1e6)
        self.proof, self.proof_until = 0, 0
        self.gate.counters["moves.done"] += 1
        self.gate.acknowledge(self.gate.steering.moved(now, self.held, move.go))
        self.wake.set()

    def close(self, code: int, reason: str, now: int) -> None:
        """Closes in order: first the client, whose last messages still go to the node, then the node."""
        if self.closing is not None:
            return
        self.drop_move()
        self.pending_close = None
        self.gate.steering.begin_release(now, self.held)
        if not self.client.close(code, reason):
            self.close_node(close_codes.LEAVING_GATE, now)
            return
        self.gate.counters[f"screens.closed_{close_codes.label(code)}"] += 1
        self.closing = CloseHandshake("client", now + self.limits.close_us)

    def close_with_retry_delay(self, code: int, now: int) -> None:
        """Closes with a time to come back. Clients that are closed together are given different times."""
        wait_us = return_delay_us(self.gate)
        self.close(code, f"come-back-ms={wait_us // 1000}", now)

    # waiting, and the clean-up

    async def wait(self, now: int) -> None:
        """Waits until either side has input, an order has come, or a time is due."""
        due = self.next_due(now)
        if self.wake.is_set():
            await asyncio.sleep(0)  # other tasks run too
            return
        try:
            async with asyncio.timeout(max(0.001, (due - now) / 1e6)):
                await self.wake.wait()
        except TimeoutError:
            pass

    def next_due(self, now: int) -> int:
        """The earliest time at which something has to be done even if nothing is received."""
        limits, due = self.limits, now + self.limits.ping_us
        if self.lacks_memory:
            due = now + limits.tick_us
        for side in (self.client, self.node):
            if side is not None:
                due = min(due, side.next_due(limits))
        if limits.idle_us:
            due = min(due, self.held.last_message_us + limits.idle_us)
        if self.proof_until:
            due = min(due, self.proof_until)
        if self.closing is not None:
            due = min(due, self.closing.until)
        if self.move is not None:
            due = min(due, self.move.next_due(now, self.held, limits))
        if self.pending_close is not None and self.pending_close.watch is not None:
            due = min(due, self.pending_close.watch.next_due(now))
        if self.closing is None and (self.move is not None or self.pending_close is not None):
            due = min(due, self.gate.steering.leave_by(self.held))
        return max(due, now + 1000)

    def tear_down(self) -> None:
        """Cleans up, whatever ended the connection, and acknowledges barriers that waited for it."""
        self.drop_move()
        limits, steering = self.limits, self.gate.steering
        if self.node is not None:
            if self.node.got_close or not self.held.unconfirmed:
                self.node.close_after_flush(limits.close_us / 1e6)
            else:
                # Rule 2: unsent bytes were written under older tables. The kernel must not send them after
                # the tunnel has ended.
                self.node.reset()
        if self.client.sent_close or self.client.got_close:
            self.client.close_after_flush(limits.close_us / 1e6)
        else:
            self.client.writer.transport.abort()
        self.gate.counters[f"ended.{self.end_reason.replace(' ', '_')}"] += 1
        self.gate.closed(self, steering.closed(self.held))
