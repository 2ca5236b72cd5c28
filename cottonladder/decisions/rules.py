"""The decisions of one manager: the module that is ported by hand.

A front makes one `Ladder` from the `Terms` of a start and calls `decide(now, inputs)` for each batch; the
orders that come back are carried out at once and in their order.  All types stand in `interface.py` beside
this file.  Each interval a min-cost flow from proxy zones to server groups (the servers of one zone) is
solved, and its shares become the weights of one table a zone.  docs/design.md has what is kept and changed.

Beside the design stand:
1. the order gate: one ledger of lines and messages; rule-bearing orders first, with room held back;
2. the server lifecycle: failing servers are shut out, come back by a trial, and cold ones are eased in;
3. slowness: a server's estimate falls with its response time against the fleet's;
4. even filling: groups are filled to a little over the fleet's mean level, not to their estimates;
5. unseen proxies: other managers' proxies count as demand of the zones where they are missing;
6. cut links: a zone whose tries at a whole group fail is kept off that group for a while.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from statistics import median

from . import interface as it

INTERVAL = 2.0  # s between two solutions (design)
BEAT = 0.25  # s between two looks at what is due
ANSWER_WAIT = 3.0  # s a table waits for its mark's answers (design)
MOVE = 0.1  # part of a weight below which it stays (design)
LOAD_FLOOR, AVERAGED = 0.1, 10  # least load report that counts; intervals in an estimate (design)
NEW_SHARE = 0.25  # of average, where a new server starts (design)
LINK_OVER, LINK_SPAN = 2.0, 5.0  # over the fleet's median a link goes; s its least time is taken over (design)
CROSS_COST, ABOVE_EVEN_COST = 1.0, 0.4  # of a link to another zone (design); of filling above the mean level
SLACK, SLACK_FOR_PRICE = 0.15, 2.0  # how far above the mean level; more where crossing zones is priced higher
SLOW_POWER, SLOW_LEAST = 1.0, 0.03  # of the fleet's response time over a server's, as its estimate's factor
SLOW_OVER = 1.5  # response time over the fleet's median up to which nothing falls
SILENT_SHARE, FAST_SHARE, BAD_LEAST = 0.85, 0.25, 4.0  # errored part of a silent or a fast failing server, tries
OUT_MOST = 0.34  # of the fleet's listed capacity that may be shut out for health
OUT_WAIT, OUT_WAIT_MOST = 4.0, 16.0  # s until a trial, doubled each time it fails
TRIAL_SHARE, TRIAL_TRIES = 0.1, 3.0  # weight of a trial, of average; good tries that end it
CUT_SHARE, CUT_LEAST = 0.6, 4.0  # errored part and tries that cut a link
LEAST_SHARE = 0.02  # of a zone's demand, below which a group gets no lines of its table
COLD_PART = 0.2  # of the fall-over multiple: how full a cold server is made against a warm one
ROOM_RULES, ROOM_DELTAS = 0.9, 0.45  # of the lines that may wait, for rule-bearing orders and for deltas
SLOWEST_CHANNEL = 8.0  # the ledger drains as if the channel were so much slower, until answers say more
BIN_STEP, BINS = 1.5, 16  # response times: ratio of neighbouring bins, and how many

ABSENT, WELL, RAMP, OUT, TRIAL, GONE = "absent", "well", "ramp", "out", "trial", "gone"
LIVE = (WELL, RAMP, TRIAL)
IDLE, WAITING = "idle", "waiting"


class Times:
    """Response times in coarse bins, halved each interval."""

    def __init__(self, least: float) -> None:
        self.least = least
        self.bins = [0.0] * BINS

    def add(self, took: float, tries: float) -> None:
        place = int(math.log(max(took, self.least) / self.least) / math.log(BIN_STEP))
        self.bins[min(place, BINS - 1)] += tries

    def mean(self) -> float:
        total = sum(self.bins)
        if total < 2.0:
            return 0.0
        place = sum((i + 0.5) * n for i, n in enumerate(self.bins)) / total
        return float(self.least * BIN_STEP**place)

    def halve(self) -> None:
        self.bins = [n / 2 for n in self.bins]


class Be:
    """What one manager holds of a server."""

    def __init__(self, zone: int, zones: int, least: float) -> None:
        self.zone = zone
        self.state = ABSENT
        self.weight = 1.0
        self.started = 0.0
        self.since = 0.0  # when its ramp began
        self.due = 0.0
        self.wait = OUT_WAIT
        self.tries = [0.0] * zones
        self.errored = [0.0] * zones
        self.times = Times(least)
        self.rate = 0.0  # own tries a second this interval
        self.load: list[float] = []
        self.measured: deque[float] = deque(maxlen=AVERAGED)
        self.slowness = 1.0
        self.cordoned = False

    def forget(self) -> None:
        self.tries = [0.0] * len(self.tries)
        self.errored = [0.0] * len(self.errored)
        self.times.bins = [0.0] * BINS
        self.slowness = 1.0


class Proxy:
    def __init__(self, joined: it.Joined) -> None:
        self.zone = joined.zone
        self.rate = joined.reqs_per_s
        self.bound = False
        self.came: dict[int, float] = {}  # reqs a second by kind, as last heard


class Table:
    """What the proxies of a zone were sent, and whether they have answered."""

    def __init__(self) -> None:
        self.sent: dict[int, float] = {}
        self.want: dict[int, float] = {}
        self.pace = IDLE
        self.mark = -1
        self.asked: list[int] = []
        self.answers = 0
        self.at = 0.0
        self.levelled = False


def least_cost_flow(
    demand: list[float], steps: list[list[tuple[float, float]]], cost: list[list[float | None]]
) -> list[list[float]]:
    """Successive cheapest paths from zones to groups: flow[z][g].

    steps[g] are the group's arcs to the sink (capacity, cost); cost[z][g] is None where there is no link.
    What finds no room is left out; the caller lets it overflow.
    """
    zones, groups = len(demand), len(steps)
    sink = 1 + zones + groups
    arcs: list[list[float]] = []  # from, to, room, cost; an arc's reverse is its neighbour (index ^ 1)

    def arc(start: int, end: int, room: float, price: float) -> None:
        arcs.append([start, end, room, price])
        arcs.append([end, start, 0.0, -price])

    for z in range(zones):
        arc(0, 1 + z, demand[z], 0.0)
    first = len(arcs)
    for z in range(zones):
        for g in range(groups):
            price = cost[z][g]
            arc(1 + z, 1 + zones + g, 0.0 if price is None else demand[z], price or 0.0)
    for g in range(groups):
        for room, price in steps[g]:
            arc(1 + zones + g, sink, room, price)
    for _ in range(4 * len(arcs)):
        far = [math.inf] * (sink + 1)
        came = [-1] * (sink + 1)
        far[0] = 0.0
        for _ in range(sink):
            moved = False
            for i, (start, end, room, price) in enumerate(arcs):
                if room > 1e-9 and far[int(start)] + price < far[int(end)] - 1e-12:
                    far[int(end)], came[int(end)], moved = far[int(start)] + price, i, True
            if not moved:
                break
        if came[sink] < 0:
            break
        path, node = [], sink
        while node:
            path.append(came[node])
            node = int(arcs[came[node]][0])
        push = min(arcs[i][2] for i in path)
        for i in path:
            arcs[i][2] -= push
            arcs[i ^ 1][2] += push
    return [[arcs[first + 2 * (z * groups + g) + 1][2] for g in range(groups)] for z in range(zones)]


class Gate:
    """The one way out for orders to proxies; it keeps the ledger of waiting lines and of messages.

    An upper bound of what waits comes from the marks' answers: what went before an answered mark has left.
    Without answers the ledger drains as if the channel were SLOWEST_CHANNEL times slower than stated.
    """

    def __init__(self, terms: it.Terms) -> None:
        self.terms = terms
        self.at = 0.0
        self.waiting = 0.0
        self.total = 0.0
        self.before: dict[int, float] = {}  # mark -> lines ordered before it
        self.written: dict[int, deque[float]] = {}
        self.number = 0
        self.orders: list[it.Order] = []
        self.lines: dict[int, int] = {}

    def open(self, now: float) -> None:
        drained = (now - self.at) * self.terms.lines_per_s / SLOWEST_CHANNEL
        self.waiting, self.at = max(0.0, self.waiting - drained), now
        for times in self.written.values():
            while times and now - times[0] > self.terms.messages_span:
                times.popleft()

    def answered(self, mark: int) -> None:
        if mark in self.before:
            self.waiting = min(self.waiting, self.total - self.before[mark])

    def _may_write(self, proxy: int, rules: bool) -> bool:
        most = self.terms.messages_most
        times = self.written.get(proxy)
        if most <= 0 or not times:
            return True
        if not rules:
            return len(times) < most - math.ceil(most / 3)
        spaced = self.at - times[-1] >= self.terms.messages_span / most
        return len(times) < most / 2 or (spaced and len(times) < most)

    def put(self, orders: list[it.Order], cost: dict[int, int], rules: bool) -> bool:
        """Take the orders if they fit; cost is lines by proxy.  Heads and marks are counted here."""
        fresh = [p for p in cost if p not in self.lines]
        lines = sum(cost.values()) + len(fresh) * (self.terms.head_lines + 1)
        room = self.terms.waiting_most * (ROOM_RULES if rules else ROOM_DELTAS)
        queued = sum(self.lines.values()) + len(self.lines) * (self.terms.head_lines + 1)
        if self.waiting + queued + lines > room or not all(self._may_write(p, rules) for p in fresh):
            return False
        self.orders += orders
        for proxy, count in cost.items():
            self.lines[proxy] = self.lines.get(proxy, 0) + count
        return True

    def close(self) -> tuple[list[it.Order], int]:
        """What goes out now, and the number of its mark (-1 where no proxy is written)."""
        orders, mark = self.orders, -1
        if self.lines:
            self.number = mark = (self.number + 1) % 65536
            orders.append(it.Mark(mark, False))
            lines = sum(self.lines.values()) + len(self.lines) * (self.terms.head_lines + 1)
            self.before[mark] = self.total
            self.before.pop((mark - 256) % 65536, None)
            self.waiting += lines
            self.total += lines
            for proxy in self.lines:
                self.written.setdefault(proxy, deque()).append(self.at)
        self.orders, self.lines = [], {}
        return orders, mark


class Ladder:
    """One manager's decisions."""

    def __init__(self, terms: it.Terms) -> None:
        self.terms = terms
        rng = random.Random(terms.seed)
        self.uniform: Callable[[float, float], float] = rng.uniform
        self.least_time = min(k.response_target for k in terms.kinds) / 64
        self.bes: dict[int, Be] = {}
        self.proxies: dict[int, Proxy] = {}
        self.tables = [Table() for _ in range(terms.zones)]
        self.gate = Gate(terms)
        self.now = 0.0
        self.out: list[it.Order] = []  # orders that no proxy is written for
        self.beat = 0
        self.solve_at = 0.0
        self.measure_at = 0.0
        self.urgent = False
        self.listed = False
        self.strain = 0.0  # errored part of all tries of late
        self.follow_at = 0.0
        self.follow_wait = 0.5
        pairs = [[0.0] * terms.zones for _ in range(terms.zones)]
        self.link_tries = [row[:] for row in pairs]
        self.link_errored = [row[:] for row in pairs]
        self.link_cut = [row[:] for row in pairs]  # cut until
        self.link_least = [[(0.0, 0.0, 0.0)] * terms.zones for _ in pairs]  # slot's start, its least, the last's
        self.part = [1.0] * terms.zones  # this manager's part of the tries at a group
        self.slices: dict[int, dict[int, float]] = {}

    # ---- the way in -------------------------------------------------------------------------------

    def decide(self, now: float, inputs: Iterable[it.Input]) -> list[it.Order]:
        self.now = now
        if self.beat == 0:
            self._wake(it.Wake(0))
        for item in inputs:
            TAKE[type(item)](self, item)
        if self.listed and (self.urgent or now >= self.solve_at):
            self._solve()
        self.gate.open(now)
        self._send()
        out, self.out = self.out, []
        return out

    def _say(self, text: str) -> None:
        self.out.append(it.Remark(text))

    def _wake(self, wake: it.Wake) -> None:
        if wake.token != self.beat:
            return
        self.beat += 1
        self.out.append(it.WakeIn(BEAT, self.beat))
        if self.terms.list_on_request and self.now >= self.follow_at:
            self.out.append(it.Follow(True))
            self.follow_at = math.inf if self.listed and self.follow_wait == 0.5 else self.now + 5.0
        self._judge()

    # ---- the list -----------------------------------------------------------------------------------

    def _listing(self, listing: it.Listing) -> None:
        if listing.news == it.News.FAILED:
            self.follow_at = self.now + self.follow_wait * self.uniform(0.8, 1.2)
            self.follow_wait = min(self.follow_wait * 2, max(0.5, self.terms.ask_within / 4))
            return
        if listing.news != it.News.CACHED:
            self.follow_at, self.follow_wait = math.inf, 0.5
        first = not self.listed
        named = {e.be for e in listing.entries}
        if listing.news != it.News.DELTA:
            for index, be in self.bes.items():
                if index not in named:
                    self._step(index, be, "leaving", "not listed")
        for e in listing.entries:
            be = self.bes.setdefault(e.be, Be(e.zone, self.terms.zones, self.least_time))
            be.zone, be.weight = e.zone, max(e.weight, 1e-6)
            cold = e.started > 0 and self.now - e.started < self.terms.warm_after
            anew = e.started > be.started and cold
            be.started = e.started
            if e.mode != it.Mode.READY:
                self._step(e.be, be, "leaving", "draining" if e.mode == it.Mode.DRAINING else "gone")
            elif anew:
                self._step(e.be, be, "started", f"age {self.now - e.started:.1f}")
            else:
                self._step(e.be, be, "listed" if first else "seen", "listed")
        self.listed = True

    def _step(self, index: int, be: Be, event: str, why: str) -> None:
        row = LIFE.get((be.state, event))
        if row is None:
            return
        state, effect = row
        if state != be.state:
            self._say(f"be {index} {be.state}>{state} {event}: {why}")
        be.state = state
        self.urgent = True
        if effect is not None:
            effect(self, be)

    def _begin(self, be: Be) -> None:
        be.since, be.wait = self.now, OUT_WAIT
        be.forget()

    def _shut(self, be: Be) -> None:
        be.due = self.now + be.wait * self.uniform(0.9, 1.1)
        be.wait = min(be.wait * 2, OUT_WAIT_MOST)

    def _try(self, be: Be) -> None:
        be.forget()

    # ---- reports ------------------------------------------------------------------------------------

    def _tally(self, t: it.Tally) -> None:
        be = self.bes.get(t.be)
        if be is None or t.tries <= 0:
            return
        be.tries[t.zone] += t.tries
        be.errored[t.zone] += t.errored
        self.link_tries[t.zone][be.zone] += t.tries
        self.link_errored[t.zone][be.zone] += t.errored
        be.rate += t.tries / INTERVAL
        if t.tries > t.errored and t.took > 0:
            be.times.add(t.took, t.tries - t.errored)
            slot, now_least, last = self.link_least[t.zone][be.zone]
            if self.now - slot >= LINK_SPAN / 2:
                slot, now_least, last = self.now, math.inf, now_least
            self.link_least[t.zone][be.zone] = (slot, min(now_least, t.took), last)
        if "util" in t.report:
            be.load.append(t.report["util"])

    def _ingress(self, u: it.Ingress) -> None:
        proxy = self.proxies.get(u.proxy)
        if proxy is not None and u.span > 0:
            proxy.came[u.kind] = u.reqs / u.span

    def _probed(self, p: it.Probed) -> None:
        be = self.bes.get(p.be)
        if be is not None and be.state == OUT:
            if p.done:
                self._step(p.be, be, "due", f"probe answered in {p.took * 1000:.0f} ms")
            else:
                be.due = self.now + OUT_WAIT / 2

    def _joined(self, j: it.Joined) -> None:
        self.proxies[j.proxy] = Proxy(j)
        self.gate.written.pop(j.proxy, None)
        self.solve_at = self.now

    def _left(self, left: it.Left) -> None:
        self.proxies.pop(left.proxy, None)

    def _answered(self, a: it.Answered) -> None:
        self.gate.answered(a.mark)
        for table in self.tables:
            if table.mark == a.mark and a.proxy in table.asked:
                table.asked.remove(a.proxy)
                table.answers += 1
                if table.answers > len(table.asked):
                    table.pace = PACE.get((table.pace, "answered"), table.pace)

    # ---- health -------------------------------------------------------------------------------------

    def _judge(self) -> None:
        """Symptoms to lifecycle steps, each beat.

        Shut out are servers that hardly answer at all, and those that fail fast: errors while what they do
        answer comes at the usual speed.  Errors with slow answers are overload or a slow machine: there the
        estimate falls, since shutting out would push the rest over.  Could harm where a few unlucky sums make
        a good server look silent; the cap on what may be out and the trial bound that.
        """
        self._judge_links()
        live = {i: be for i, be in self.bes.items() if be.state in LIVE}
        seen = {i: self._met(be) for i, be in live.items()}
        tries, errored = sum(n for n, _ in seen.values()), sum(e for _, e in seen.values())
        self.strain = errored / tries if tries > 0 else 0.0
        listed = sum(be.weight for be in self.bes.values() if be.state in (*LIVE, OUT))
        shut = sum(be.weight for be in self.bes.values() if be.state == OUT)
        usual = self._usual_time()
        for i, be in live.items():
            n, e = seen[i]
            others = (errored - e) / (tries - n) if tries - n > 0 else 0.0
            silent = e >= SILENT_SHARE * n and others < SILENT_SHARE / 2
            fast = e >= FAST_SHARE * n and others < FAST_SHARE / 2 and 0 < be.times.mean() < SLOW_OVER * usual
            if n >= (BAD_LEAST if be.state != TRIAL else 1.0) and e > 0 and (silent or fast):
                if shut + be.weight <= OUT_MOST * listed:
                    shut += be.weight
                    self._step(i, be, "bad", f"errored {e:.0f} of {n:.0f}, others {others:.2f}")
            elif be.state == TRIAL and n >= TRIAL_TRIES and e < FAST_SHARE * n:
                self._step(i, be, "fine", f"errored {e:.0f} of {n:.0f}")
            elif be.state == RAMP and self._ease(be) >= 4.0:
                self._step(i, be, "grown", "ramp over")
        for i, be in self.bes.items():
            if be.state == OUT and self.now >= be.due:
                if self.terms.probing:
                    be.due = self.now + OUT_WAIT
                    self.out.append(it.Probe(i))
                else:
                    self._step(i, be, "due", "waited")

    def _usual_time(self) -> float:
        means = [m for be in self.bes.values() if be.state in LIVE and (m := be.times.mean()) > 0]
        return median(means) if means else 0.0

    def _met(self, be: Be) -> tuple[float, float]:
        """Tries and errored tries at a server, but for those over cut links."""
        open_zones = [z for z in range(self.terms.zones) if self.now >= self.link_cut[z][be.zone]]
        return sum(be.tries[z] for z in open_zones), sum(be.errored[z] for z in open_zones)

    def _judge_links(self) -> None:
        """Guards against a zone cut off: most tries of one zone at a whole other group err.

        Would harm if a group errs for its own zone too: then its servers are judged, not the link.
        """
        for z in range(self.terms.zones):
            for g in range(self.terms.zones):
                n, e = self.link_tries[z][g], self.link_errored[z][g]
                own_n, own_e = self.link_tries[g][g], self.link_errored[g][g]
                if z == g or self.now < self.link_cut[z][g] or n < CUT_LEAST or e < CUT_SHARE * n:
                    continue
                if own_n < CUT_LEAST or own_e < CUT_SHARE / 2 * own_n:
                    self.link_cut[z][g] = self.now + 2 * INTERVAL
                    self.link_tries[z][g] = self.link_errored[z][g] = 0.0
                    self.urgent = True
                    self._say(f"link {z}-{g} cut: errored {e:.0f} of {n:.0f}")

    # ---- estimates ----------------------------------------------------------------------------------

    def _ease(self, be: Be) -> float:
        """A new server's share of average: a quarter, doubled each interval (design)."""
        return float(NEW_SHARE * 2.0 ** min(10.0, max(0.0, self.now - be.since) // INTERVAL))

    def _measure(self) -> None:
        """Once an interval: capacity samples, slowness, and the halving of what was counted."""
        for be in self.bes.values():
            if be.load and be.rate > 0:
                load = max(LOAD_FLOOR, sum(be.load) / len(be.load))
                be.measured.append(be.rate / load / max(0.05, self.part[be.zone]))
            be.rate, be.load = 0.0, []
        usual = self._usual_time()
        for be in self.bes.values():
            mean, (n, e) = be.times.mean(), self._met(be)
            aim = min(1.0, (SLOW_OVER * usual / mean) ** SLOW_POWER) if mean > 0 else be.slowness
            if n > 0:
                aim *= 1.0 - e / n
            be.slowness = max(SLOW_LEAST, be.slowness + (aim - be.slowness) * 0.5)
            be.times.halve()
        for be in self.bes.values():
            be.tries = [n / 2 for n in be.tries]
            be.errored = [n / 2 for n in be.errored]
        for counts in (self.link_tries, self.link_errored):
            for row in counts:
                row[:] = [n / 2 for n in row]

    def _estimates(self) -> dict[int, float]:
        """Each usable server's estimate now."""
        live = {i: be for i, be in self.bes.items() if be.state in LIVE}
        if not live:  # all that is listed is shut out: better those than no line at all
            live = {i: be for i, be in self.bes.items() if be.state == OUT}
        heard = [be for be in live.values() if be.measured]
        unit = 1.0
        if heard:
            unit = sum(sum(b.measured) / len(b.measured) for b in heard) / sum(b.weight for b in heard)
        full = {
            i: (sum(b.measured) / len(b.measured) if b.measured else b.weight * unit) for i, b in live.items()
        }
        average = sum(full.values()) / len(full) if full else 1.0
        for i, be in live.items():
            full[i] *= be.slowness
            if be.state == RAMP:
                full[i] = min(full[i], average * self._ease(be))
            elif be.state == TRIAL:
                full[i] = min(full[i], average * TRIAL_SHARE)
            age = self.now - be.started
            if be.started > 0 and age < self.terms.warm_after:  # keeps the rule on cold servers
                share = self.terms.cold_share + (1 - self.terms.cold_share) * age / self.terms.warm_after
                full[i] *= share * min(1.0, COLD_PART * self.terms.fall_multiple) * (1.0 - self.strain) ** 2
        return full

    # ---- the flow -----------------------------------------------------------------------------------

    def _demand(self) -> tuple[list[float], list[float]]:
        """Own demand by zone, and that of proxies that other managers hold (guessed).

        The design scales capacities by a manager's part of the tries.  Proxies are dealt by zone, so one
        part for all groups would send most tries across zones; the part is taken zone by zone instead, by
        putting the proxies that are missing where they are missing.
        """
        zones = self.terms.zones
        own, count = [0.0] * zones, [0] * zones
        for p in self.proxies.values():
            own[p.zone] += sum(p.came.values()) if len(p.came) == len(self.terms.kinds) else p.rate
            count[p.zone] += 1
        others = [0.0] * zones
        missing = self.terms.proxies - len(self.proxies)
        if self.terms.managers > 1 and missing > 0 and self.proxies:
            each = sum(p.rate for p in self.proxies.values()) / len(self.proxies)
            gaps = [max(0.0, self.terms.proxies / zones - c) for c in count]
            for z in range(zones):
                others[z] = missing * each * gaps[z] / sum(gaps) if sum(gaps) > 0 else 0.0
        return own, others

    def _latency(self, z: int, g: int) -> float:
        slot, now_least, last = self.link_least[z][g]
        seen = [v for v in (now_least, last) if 0 < v < math.inf]
        return min(seen) if seen and self.now - slot < LINK_SPAN else 0.0

    def _solve(self) -> None:
        zones = range(self.terms.zones)
        if self.now >= self.measure_at:
            self._measure()
            self.measure_at = self.now + INTERVAL
        self.solve_at, self.urgent = self.now + INTERVAL, False
        full = self._estimates()
        groups: list[list[int]] = [[i for i in full if self.bes[i].zone == g] for g in zones]
        room = [sum(full[i] for i in group) for group in groups]
        own, others = self._demand()
        demand = [a + b for a, b in zip(own, others, strict=True)]
        seen = [v for z in zones for g in zones if (v := self._latency(z, g)) > 0]
        line = LINK_OVER * median(seen) if seen else math.inf
        usual = median(seen) if seen else 0.0
        cost: list[list[float | None]] = []
        for z in zones:
            row: list[float | None] = []
            for g in zones:
                shut = self.now < self.link_cut[z][g] or (self._latency(z, g) or usual) >= line
                row.append(None if shut or not groups[g] else 0.0 if z == g else CROSS_COST)
            cost.append(row)
        total, all_room = sum(demand), sum(room)
        level = total / all_room if all_room > 0 else 0.0
        above = SLACK + SLACK_FOR_PRICE * self.terms.cross_zone_price
        steps = [[(c * level, 0.0), (c * level * above, ABOVE_EVEN_COST)] for c in room]
        flow = least_cost_flow(demand, steps, cost)
        homes = [self._home(z, groups, usual) for z in zones]
        for z in zones:
            if homes[z] >= 0:
                flow[z][homes[z]] += max(0.0, demand[z] - sum(flow[z]))
        mine = [sum(flow[z][g] * own[z] / demand[z] for z in zones if demand[z] > 0) for g in zones]
        self.part = [mine[g] / s if (s := sum(flow[z][g] for z in zones)) > 0 else 1.0 for g in zones]
        for z in zones:
            shares = [f / demand[z] for f in flow[z]] if demand[z] > 0 else [0.0] * self.terms.zones
            if homes[z] >= 0 and sum(shares) <= 0:
                shares[homes[z]] = 1.0
            want: dict[int, float] = {}
            for g in zones:
                if shares[g] >= LEAST_SHARE and room[g] > 0:
                    for i in groups[g]:
                        want[i] = shares[g] * full[i] / room[g]
            self.tables[z].want = want

    def _home(self, z: int, groups: list[list[int]], usual: float) -> int:
        """Where a zone's overflow goes: its own group, else the nearest with servers (design)."""
        if groups[z]:
            return z
        ranked = [(self.now < self.link_cut[z][g], self._latency(z, g) or usual, g)
                  for g in range(len(groups)) if groups[g]]
        return min(ranked)[2] if ranked else -1

    # ---- the way out ----------------------------------------------------------------------------------

    def _users(self, z: int) -> list[int]:
        return [p for p, proxy in self.proxies.items() if proxy.zone == z and proxy.bound]

    def _send(self) -> None:
        """Rule-bearing orders first: servers that leave, then proxies to bind, busiest first; then deltas."""
        touched: list[int] = []
        for i, be in self.bes.items():
            leaving = be.state == GONE
            if leaving != be.cordoned and (leaving or be.state in LIVE):
                self._send_cordon(i, be, leaving)
        if self.terms.slices:
            self._mend_slices()
        else:
            self._send_binds(touched)
        for z, table in enumerate(self.tables):
            if table.pace == WAITING and self.now - table.at > ANSWER_WAIT:
                table.pace = PACE[table.pace, "late"]
            if table.want:
                self._send_delta(z, table, touched)
        orders, mark = self.gate.close()
        self.out += orders
        for z in touched:
            table = self.tables[z]
            table.mark, table.at, table.answers = mark, self.now, 0
            table.asked = self._users(z)
            table.pace = PACE.get((table.pace, "sent"), table.pace)

    def _send_cordon(self, i: int, be: Be, leaving: bool) -> None:
        holders = [(z, t) for z, t in enumerate(self.tables) if i in t.sent]
        orders: list[it.Order] = [it.Cordon(i, leaving)]
        cost = {p: 1 for p in self.proxies}
        if leaving:
            for z, table in holders:
                if len(table.sent) > 1:
                    orders.append(it.SetLine(z, i, 0.0))
                    for p in self._users(z):
                        cost[p] += 1
        if self.gate.put(orders, cost, True):
            be.cordoned = leaving
            if leaving:
                for _, table in holders:
                    if len(table.sent) > 1:
                        del table.sent[i]

    def _send_binds(self, touched: list[int]) -> None:
        fresh = [(-proxy.rate, p) for p, proxy in self.proxies.items() if not proxy.bound]
        for _, p in sorted(fresh):
            proxy = self.proxies[p]
            table = self.tables[proxy.zone]
            if not table.want:
                continue
            if not table.sent or not self._users(proxy.zone):
                self._lay(proxy.zone, table)
            if self.gate.put([it.Bind(p, proxy.zone, 0)], {p: 2 + len(table.sent)}, True):
                proxy.bound = True
                touched.append(proxy.zone) if proxy.zone not in touched else None

    def _lay(self, z: int, table: Table) -> None:
        """Write a table that no proxy uses yet: it costs nothing."""
        if not table.levelled and self.terms.usual_further == it.Further.NEVER:
            let_in = 1.0 if self.terms.levels != "rps" else 1e6
            self.gate.put([it.Level(z, let_in, 0, it.Further.NEVER_RAN)], {}, True)
            table.levelled = True
        lines: list[it.Order] = [it.SetLine(z, i, 0.0) for i in table.sent if i not in table.want]
        lines += [it.SetLine(z, i, w) for i, w in table.want.items()]
        self.gate.put(lines, {}, True)
        table.sent = dict(table.want)

    def _send_delta(self, z: int, table: Table, touched: list[int]) -> None:
        users = self._users(z)
        if not users:
            return
        sent = table.sent
        moves = {i: w for i, w in table.want.items() if abs(w - sent.get(i, 0.0)) > MOVE * sent.get(i, 0.0)}
        drops = [i for i in table.sent if i not in table.want]
        orders: list[it.Order] = [it.SetLine(z, i, w) for i, w in moves.items()]
        orders += [it.SetLine(z, i, 0.0) for i in drops]
        rules = any(self.bes[i].state in (OUT, GONE) for i in drops)
        if not orders or (table.pace == WAITING and not rules):
            return
        if self.gate.put(orders, {p: len(orders) for p in users}, rules):
            table.sent.update(moves)
            for i in drops:
                del table.sent[i]
            touched.append(z) if z not in touched else None

    # ---- sites with slices ----------------------------------------------------------------------------

    def _given(self, g: it.Given) -> None:
        self.slices.pop(g.table, None)
        if g.on:
            self.slices[g.table] = {}

    def _stored(self, s: it.Stored) -> None:
        if s.table in self.slices:
            self.slices[s.table][s.be] = s.weight

    def _ignore(self, item: it.Input) -> None:
        """Read, and of no use here."""

    def _mend_slices(self) -> None:
        """A slice keeps its servers; with none left it gets the one that holds least for its size."""
        full = self._estimates()
        held = {i: 0.0 for i in full}
        for lines in self.slices.values():
            for i in lines:
                held[i] = held.get(i, 0.0) + 1.0
        for t, lines in self.slices.items():
            stays = [i for i in lines if i in full]
            if stays == list(lines) and stays or not full:
                continue
            drops = [i for i in lines if i not in full]
            orders: list[it.Order] = []
            new = {i: lines[i] for i in stays}
            if not stays:
                best = min(full, key=lambda i: ((held[i] + 1.0) / full[i], i))
                held[best] += 1.0
                new[best] = 1.0
                orders.append(it.SetLine(t, best, 1.0))
            if not self.terms.single_owner:
                orders += [it.SetLine(t, i, 0.0) for i in drops]
            if self.gate.put(orders, {p: len(orders) for p in self.proxies}, True):
                self.slices[t] = new


Effect = Callable[[Ladder, Be], None]
LISTED = (*LIVE, OUT)
LIFE: dict[tuple[str, str], tuple[str, Effect | None]] = {
    **{(state, "started"): (RAMP, Ladder._begin) for state in (ABSENT, *LISTED, GONE)},
    **{(state, "leaving"): (GONE, None) for state in (ABSENT, *LISTED)},
    **{(state, "bad"): (OUT, Ladder._shut) for state in (WELL, RAMP, TRIAL)},
    (ABSENT, "listed"): (WELL, None),
    (ABSENT, "seen"): (RAMP, Ladder._begin),
    (GONE, "seen"): (RAMP, Ladder._begin),
    (RAMP, "grown"): (WELL, None),
    (OUT, "due"): (TRIAL, Ladder._try),
    (TRIAL, "fine"): (RAMP, Ladder._begin),
}
PACE = {
    (IDLE, "sent"): WAITING,
    (WAITING, "sent"): WAITING,
    (WAITING, "answered"): IDLE,
    (WAITING, "late"): IDLE,
}
TAKE: dict[type, Callable[..., None]] = {
    it.Listing: Ladder._listing,
    it.Wake: Ladder._wake,
    it.Probed: Ladder._probed,
    it.Joined: Ladder._joined,
    it.Left: Ladder._left,
    it.Tally: Ladder._tally,
    it.Ingress: Ladder._ingress,
    it.Given: Ladder._given,
    it.Stored: Ladder._stored,
    it.Answered: Ladder._answered,
    it.Hint: Ladder._ignore,
    it.SliceLoad: Ladder._ignore,
}
