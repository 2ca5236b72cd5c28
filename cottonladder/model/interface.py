"""What goes into the decisions and what comes out; knows no wire and decides nothing.

Times are seconds with fractions.  Backends, zones and request kinds are small indices; a front maps
its own names to them at its door.  A front hands `Terms` to one instance at its start, then calls
`decide(now, inputs)` for each batch and carries out the orders in the order given.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Mode(IntEnum):
    """What the list says of a backend."""

    DRAINING = 0
    READY = 1
    GONE = 2


class News(IntEnum):
    """How much of the list a `Listing` carries; `FORMER`: changes, from where it is no longer asked for."""

    FULL = 0
    FAILED = 1
    DELTA = 2
    CACHED = 3
    FORMER = 4


class Further(IntEnum):
    """When a proxy tries another backend."""

    NEVER = 0
    NEVER_RAN = 1
    ONCE = 2
    TWICE = 3


ALL_TABLES = 65535


@dataclass(frozen=True, slots=True)
class ReqKind:
    """One kind of req, as the operators describe it."""

    response_target: float
    importance: float


@dataclass(frozen=True, slots=True)
class Terms:
    """What a start hands over: what this instance may do and what it must keep to."""

    seed: int
    managers: int
    zones: int
    kinds: tuple[ReqKind, ...]
    proxies: int
    list_on_request: bool
    ask_within: float
    probing: bool
    peers: bool
    levels: str
    slices: int
    single_owner: bool
    lines_per_s: float
    head_lines: int
    waiting_most: float
    messages_most: int
    messages_span: float
    drain_grace: float
    cold_share: float
    fall_multiple: float
    avoids: bool
    warm_after: float
    cross_zone_price: float
    probe_price: float


@dataclass(frozen=True, slots=True)
class Entry:
    """One backend as the list has it; `started` is 0 for long ago."""

    be: int
    zone: int
    mode: Mode
    weight: float
    started: float


@dataclass(frozen=True, slots=True)
class Listing:
    news: News
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Wake:
    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    be: int
    done: bool
    took: float
    report: dict[str, float]


@dataclass(frozen=True, slots=True)
class Hint:
    """A message from another manager; it may have been lost or be old."""

    sender: int
    text: str


@dataclass(frozen=True, slots=True)
class Joined:
    """`fresh`: the proxy holds nothing but what it drew at its own start."""

    proxy: int
    zone: int
    reqs_per_s: float
    fresh: bool


@dataclass(frozen=True, slots=True)
class Left:
    proxy: int


@dataclass(frozen=True, slots=True)
class Tally:
    """What the joined proxies of a zone met at a backend."""

    be: int
    zone: int
    tries: int
    errored: int
    span: float
    took: float
    report: dict[str, float]


@dataclass(frozen=True, slots=True)
class Ingress:
    """What came to a joined proxy."""

    proxy: int
    kind: int
    reqs: int
    unanswered: int
    span: float


@dataclass(frozen=True, slots=True)
class SliceLoad:
    table: int
    kind: int
    reqs: int
    unanswered: int
    span: float


@dataclass(frozen=True, slots=True)
class Given:
    table: int
    on: bool


@dataclass(frozen=True, slots=True)
class Stored:
    table: int
    be: int
    weight: float


@dataclass(frozen=True, slots=True)
class Answered:
    proxy: int
    mark: int
    took: float


@dataclass(frozen=True, slots=True)
class Laid:
    """What connections held open lay on a backend beside reqs, as reqs a second; the whole each time."""

    be: int
    load: float


@dataclass(frozen=True, slots=True)
class Advised:
    """What outside advice makes of a backend: a bounded factor on its estimate, 1 where it says nothing.
    Factors of several sources multiply."""

    be: int
    factor: float
    source: int = 0


@dataclass(frozen=True, slots=True)
class Past:
    """What an earlier life knew of a backend, as far as it still holds: `base` s of its answers in calm
    times (0: not known), `slowness` its factor for trouble, `out` shut out by suspicion, `leaving` draining
    or gone."""

    be: int
    started: float
    base: float
    slowness: float
    out: bool
    leaving: bool


@dataclass(frozen=True, slots=True)
class Remembered:
    """An earlier life's knowledge, given once, right behind the first list.  `mark`: the last number used;
    `rates`: reqs a second by proxy."""

    mark: int
    pasts: tuple[Past, ...]
    rates: tuple[tuple[int, float], ...]


@dataclass(frozen=True, slots=True)
class Aside:
    """Lines written to proxies beside the orders; they wait in the same channel."""

    lines: int


Input = (
    Listing
    | Wake
    | Probed
    | Hint
    | Joined
    | Left
    | Tally
    | Ingress
    | SliceLoad
    | Given
    | Stored
    | Answered
    | Laid
    | Advised
    | Aside
    | Remembered
)


@dataclass(frozen=True, slots=True)
class Standing:
    """A backend as last solved, for whoever plans beside the flow.

    `estimate` is in the flow's own unit, 0 where the backend takes nothing new; a cold one's is what the cold
    rule leaves.  `leaving_since`: when this manager knew that it drains or is gone; below 0 while it doesn't.
    `time`: s of its answers, between those of late and those of calm times; 0 where too few were heard.
    """

    zone: int
    estimate: float
    cold: bool
    leaving_since: float
    time: float = 0.0


@dataclass(frozen=True, slots=True)
class SetLine:
    table: int
    be: int
    weight: float


@dataclass(frozen=True, slots=True)
class Empty:
    table: int


@dataclass(frozen=True, slots=True)
class Bind:
    """Kinds are a sum of 2**index; 0 stands for all of them."""

    proxy: int
    table: int
    kinds: int


@dataclass(frozen=True, slots=True)
class Cordon:
    be: int
    on: bool


@dataclass(frozen=True, slots=True)
class Level:
    table: int
    let_in: float
    kinds: int
    further: Further


@dataclass(frozen=True, slots=True)
class Mark:
    number: int
    everyone: bool


@dataclass(frozen=True, slots=True)
class Follow:
    """Ask for the list's changes from now on."""

    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class Probe:
    be: int


@dataclass(frozen=True, slots=True)
class Tell:
    """To another manager, or to all of them with -1."""

    whom: int
    text: str


@dataclass(frozen=True, slots=True)
class WakeIn:
    after: float
    token: int


@dataclass(frozen=True, slots=True)
class Forget:
    """A backend that is gone: nothing more will be ordered of it, and what is kept for it may go."""

    be: int


@dataclass(frozen=True, slots=True)
class Remark:
    text: str


Order = (
    SetLine
    | Empty
    | Bind
    | Cordon
    | Level
    | Mark
    | Follow
    | FetchList
    | Probe
    | Tell
    | WakeIn
    | Forget
    | Remark
)
