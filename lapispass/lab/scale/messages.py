"""What the run and its stand-in processes say to each other: one JSON object a line, answered in turn."""

from __future__ import annotations

import msgspec

from lapispass.standins.http import Traffic
from lapispass.standins.placeholder import Pace
from lapispass.standins.platform import Member
from lapispass.standins.servers import Probed


class Message(msgspec.Struct, tag=True, frozen=True):
    """Tagged by its name."""


# Commands


class Guard(Message, frozen=True):
    """End the controller that has this configuration file, should the run be gone; answered by `Done`."""

    config: str


class OpenServers(Message, frozen=True):
    """Listen for these servers, the first of which has the number `first`; answered by `Addresses`."""

    first: int
    names: list[str]


class OpenRegistry(Message, frozen=True):
    """Listen for each client, and list these members; answered by `Addresses`."""

    clients: list[str]
    members: list[Member]


class OpenRelay(Message, frozen=True):
    """Listen for each client; its slices are in `charges`. Answered by `Addresses`.

    Clients in `shared` stand for many controllers.
    """

    clients: list[str]
    shared: list[str]
    slices: int
    proxies: int
    zones: list[str]
    charges: dict[str, list[int]]
    classes: list[str]
    requests: float
    seed: int


class Report(Message, frozen=True):
    """Collectors connect to a controller from now on; answered by `Done`."""

    client: str
    address: str


class Requests(Message, frozen=True):
    """The fleet gets so many requests a second from now on; answered by `Done`."""

    per_s: float


class Change(Message, frozen=True):
    """Tell a change of the list; answered by `Told`."""

    members: list[Member]


class LoseZone(Message, frozen=True):
    """A zone's proxies and collector are away, or back cold; so are its servers. Answered by `Done`."""

    zone: str
    servers: list[str]
    lost: bool


class Count(Message, frozen=True):
    """Answered by the counts of the stand-in."""


class WatchLeft(Message, frozen=True):
    """Note when each client's last slice leaves this server, by client, from now on; answered by `Done`."""

    servers: dict[str, str]


class AskLeft(Message, frozen=True):
    """What was noted since the last `WatchLeft`; answered by `Left`."""


class OpenHollow(Message, frozen=True):
    """Have so many hollow controllers, which begin with `Begin`; answered by `Done`."""

    count: int
    registry: str
    relay: str
    servers: list[str]
    seed: int


class Begin(Message, frozen=True):
    """All hollow controllers start within this time; answered by `Done`."""

    spread_s: float


class Keep(Message, frozen=True):
    """Hollow controllers keep this pace from now on; answered by `Done`."""

    pace: Pace


class AskHeard(Message, frozen=True):
    """Which hollow controllers know this revision of the list; answered by `Moments`."""

    revision: int


class AskStanding(Message, frozen=True):
    """Which hollow controllers stand; answered by `Moments`."""


Command = (
    Guard
    | OpenServers
    | OpenRegistry
    | OpenRelay
    | OpenHollow
    | Report
    | Requests
    | Change
    | LoseZone
    | Count
    | WatchLeft
    | AskLeft
    | Begin
    | Keep
    | AskHeard
    | AskStanding
)


# Answers


class Done(Message, frozen=True):
    """It was done."""


class Failed(Message, frozen=True):
    """A command could not be carried out."""

    why: str


class Addresses(Message, frozen=True):
    """Where a stand-in listens, by the name of the client or the server."""

    by_name: dict[str, str]


class Told(Message, frozen=True):
    """A change was written to all who watch, from this time of the machine's monotonic clock on."""

    revision: int
    at_us: int


class Left(Message, frozen=True):
    """By client, on the machine's monotonic clock, and only once it came to that.

    When the last of its slices first left the server, and when all of its slices first had owners again.
    """

    left_us: dict[str, int]
    owned_us: dict[str, int]


class Moments(Message, frozen=True):
    """How many hollow controllers have come so far, and when the last one did, on the monotonic clock."""

    count: int
    last_us: int


class RegistryCounts(Message, frozen=True):
    """By client."""

    traffic: dict[str, Traffic]
    watches: int


class RelayCounts(Message, frozen=True):
    """By client: what passed, the orders by their kind, and what the collectors wrote."""

    traffic: dict[str, Traffic]
    orders: dict[str, dict[str, int]]
    reports: dict[str, Traffic]
    owners: dict[int, str]  # of the slices that real controllers hold


class ServerCounts(Message, frozen=True):
    """Probes by real controllers, all together, and by hollow ones; how many servers real ones probed."""

    probed: int
    real: Probed
    hollow: Probed


Answer = Done | Failed | Addresses | Told | Left | Moments | RegistryCounts | RelayCounts | ServerCounts

commands: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)
answers: msgspec.json.Decoder[Answer] = msgspec.json.Decoder(Answer)
encode = msgspec.json.Encoder().encode
