"""The decisions of one manager.  Each interval a min-cost flow from proxy zones to groups of workers makes a
table for each zone; `docs/design.md` says what is kept of the design and what stands beside it."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from statistics import fmean

from ..model import inputs, orders
from ..model.gossip_text import decode_zone_figures, encode_zone_figures
from ..model.in_flight import InFlightLines
from ..model.min_cost_flow import min_cost_flow
from ..model.parameters import DeploymentParameters
from ..model.records import ABSENT, IDLE, ProxyRecord, RoutingTable, WorkerRecord
from ..model.statistics import median_or_zero
from ..model.weight_ring import cut

INTERVAL, BEAT, ANSWER_WAIT = 2.0, 0.25, 3.0  # s: between solutions, looks; for answers (design)
LOAD_FLOOR, AVERAGED, PART_LEAST = 0.1, 10, 0.25  # load report; intervals (design); part of tries, to count
LINK_OVER, LINK_SPAN = 2.0, 3  # over the median a link goes; intervals its least time is of (design: 5 s)
CROSS_COST, LEAST_SHARE, SLACK, SLACK_FOR_PRICE = 1.0, 0.02, 0.05, 0.5  # least laid; over the mean; per price
SLOW_OVER, ERRED_POWER = 2.0, 3.0  # time over base, against the fleet's, left alone; of the answered part
SLOW_LEAST, SLOW_FALL, SLOW_RISE, ZONE_STEP = 0.03, 0.8, 0.5, 0.25  # least factor; part of the way each time
BASE_FALL, BASE_RISE, SPEED_SPAN = 0.8, 0.01, 2.5  # steps of a base time; how far speeds may differ
KEEP, BIN_STEP, BINS = 0.5, 1.5, 16  # of what was counted, each interval; ratio of time bins; how many
SILENT_SHARE, CALM_SHARE, BAD_LEAST = 0.85, 0.2, 4.0  # errored part, the others' at most; least tries
MOVE, NEW_SHARE, OUT_MOST, OUT_WAIT = 0.1, 0.25, 0.34, 5.0  # part that moves; a start's; shut out at most, s
PROBE_EVERY, PROBE_POINTS, PROBES_LOST = 1.0, 0.003, 2  # s at least; what it may cost; lost ones in a row
COLD_CALM, COLD_YOUNG, BLIND_BEATS, AVOID_RATE, FEW_PART = 12.0, 0.75, 16, 0.4, 0.5  # 1/errors; reqs/s
STRAIN_ERRED, STRAIN_TIME, STRAIN_LOAD = 0.1, 0.35, 0.92  # errors, time over target, load: that mean overload
LEVEL_STEP, LEVEL_MOST, LEVEL_CALM = 0.5, 0.35, 0.8  # of how far off, down at most; under this it rises
LEVEL_FLOOR, LEVEL_LEAST, GONE_FOR = 0.4, 0.1, 20.0  # least let in, of all and of a kind; s till forgotten
CALM_TWICE, LOAD_OVER = 2.0, 1.4  # errors count up to this much of time and load; demand over room of load
DEMAND_SPAN, TOLD_FOR, WORDS_MOST = 4.0, 3, 18  # s of counts kept whole; intervals a word counts; its zones
BOUND_WITHIN, GONE_WAIT, LINES_LEAST = 0.5, 0.4, 8  # of a drain's grace: to bind all, to wait; of a table
SLOWEST_CHANNEL, MARKS_MOST = 16.0, 256  # times slower than usual, until answers tell otherwise; unanswered
RULES, BINDS, DELTAS = (0.9, math.inf), (0.9, 2.5), (0.45, 1.5)  # of lines that may wait; s of the channel
NEVER_OVER, SPAN_MOST, RATE_MOST = 8.0, 120.0, 1e5  # times the usual, s, reqs/s: over these nothing can be
COLD_PART, COLD_OVER, GOLDEN = 0.33, 1.2, 0.618034  # of the fall's multiple; over its part; turns of a ring
ADVISED_MOST, LAID_LEAST = 2.0, 0.1  # times all advice lifts or lowers; part of a server always left for reqs
WELL, RAMP, OUT, GONE = "well", "ramp", "out", "gone"
LIVE, WAITING = (WELL, RAMP), "waiting"


def likely(count: int, span: float, rate: float) -> bool:  # spoilt sums would be believed for minutes
    return span <= SPAN_MOST and count <= NEVER_OVER * (1.0 + rate) * (1.0 + span)


class ChannelBudget:
    """The one way out for orders to proxies: a ledger of lines keeps the queue rule.  Deltas go by answers
    alone (a channel may be slow; harms when late), rule-bearing orders also by time, which drains slowly."""

    def __init__(self, terms: DeploymentParameters) -> None:
        self.terms, self.number, self.kept = terms, terms.seed % 65536, max(1, terms.max_messages)
        self.at = self.waiting = 0.0  # lines that wait: by time or answers
        self.in_flight = InFlightLines()  # by answers alone
        self.written: dict[int, list[float]] = {}
        self.orders: list[orders.Order] = []
        self.lines, self.total = dict[int, int](), 0  # by proxy written by these orders; over all
        self.added: Callable[[int, Iterable[int], bool], int] = lambda proxy, bes, whole: 0  # by the front

    def open(self, now: float) -> None:
        drained = (now - self.at) * self.terms.channel_lines_per_s / SLOWEST_CHANNEL
        self.waiting, self.at = max(0.0, self.waiting - drained), now

    def answered(self, mark: int, proxy: int) -> None:
        self.in_flight.acknowledge(mark, proxy)
        self.waiting = min(self.waiting, self.in_flight.total)

    def _may_write(self, proxy: int, rules: bool) -> bool:
        """Deltas leave a third of the messages; of it, rule-bearing ones are spread over the span."""
        most, span = self.terms.max_messages, self.terms.message_window_s
        times = [t for t in self.written.get(proxy, []) if self.at - t <= span]
        spread = most > 0 and self.at - max(times, default=-math.inf) >= span / most
        return most <= 0 or len(times) < (most if rules and spread else most * 2 // 3)

    def room(self, proxies: Iterable[int], way: tuple[float, float]) -> int:
        """Lines that may still be ordered, beside heads and marks; what waits long is old when it leaves."""
        taken = (self.in_flight.total if way == DELTAS else self.waiting) + self.total
        heads = sum(p not in self.lines for p in proxies) * (self.terms.message_header_lines + 1)
        return int(
            min(self.terms.max_queued_lines * way[0], self.terms.channel_lines_per_s * way[1]) - taken - heads
        )

    def put(self, changes: list[orders.Order], cost: dict[int, int], way: tuple[float, float]) -> bool:
        """Take the orders if they fit; cost is lines by proxy, to which heads and marks are added."""
        fits = not cost or sum(cost.values()) <= self.room(cost, way)
        if not fits or not all(p in self.lines or self._may_write(p, way != DELTAS) for p in cost):
            return False
        self.orders += changes
        for p, lines in cost.items():
            self.total += lines + (self.terms.message_header_lines + 1) * (p not in self.lines)
            self.lines[p] = self.lines.get(p, self.terms.message_header_lines + 1) + lines
        return True

    def settle(self, written: dict[int, int]) -> None:  # in place of what was booked; by proxy, without heads
        lines = {p: count + self.terms.message_header_lines for p, count in written.items()}
        self.waiting += self.in_flight.replace(self.number, lines)

    def close(self) -> tuple[list[orders.Order], int]:
        """What goes out now, and the number of its mark (-1 where no proxy is written)."""
        changes, mark = self.orders, -1
        if self.lines:
            self.number = mark = (self.number + 1) % 65536
            changes.append(orders.Checkpoint(mark, False))
            self.waiting += self.total
            self.written.update({p: [*self.written.get(p, []), self.at][-self.kept :] for p in self.lines})
            self.in_flight.add(mark, self.lines, MARKS_MOST)
        self.orders, self.lines, self.total = [], {}, 0
        return changes, mark


class RoutingController:
    def __init__(self, terms: DeploymentParameters) -> None:
        self.terms, self.zones, self.gate = terms, range(terms.zone_count), ChannelBudget(terms)
        self.uniform: Callable[[float, float], float] = random.Random(terms.seed).uniform
        self.tightest = min(k.latency_objective_s for k in terms.request_classes)
        self.bes, self.proxies = dict[int, WorkerRecord](), dict[int, ProxyRecord]()
        self.tables, self.numbers = (
            [RoutingTable(z, z) for z in self.zones],
            terms.zone_count,
        )  # of tables so far
        self.told, self.out = (
            dict[int, tuple[float, list[float]]](),
            list[orders.Order](),
        )  # by others; to others
        self.now = self.solve_at = self.measure_at = self.follow_at = self.usual = 0.0
        self.beat, self.probe_at, self.striking = 0, -math.inf, False  # striking: proxies avoid by themselves
        self.urgent = self.listed = self.due = False
        self.strain, self.strained, self.level, self.let_in, self.whole = 0.0, 0.0, 0.0, 1.0, 1.0
        self.least = [[[math.inf] * LINK_SPAN for _ in self.zones] for _ in self.zones]  # s, by interval
        self.full, self.rates = dict[int, float](), dict[int, float]()  # as solved; as an earlier life knew
        self.levels: dict[int, tuple[float, float]] = {}  # shares let in by kind, and as proxies take them
        # By zone: this manager's part of the tries, when proxies there last spoke, when probes or tries were.
        self.part, self.heard, self.mute = ([v] * terms.zone_count for v in (1.0, -math.inf, 0.0))
        self.trust, self.steady = (
            [1.0] * terms.zone_count for _ in range(2)
        )  # how servers do, slowly; by now

    def decide(self, now: float, arrived: Iterable[inputs.Input]) -> list[orders.Order]:
        self.now, self.due = now, False  # sums, joins and most answers wait for the next beat
        for item in [inputs.TimerFired(0), *arrived] if self.beat == 0 else arrived:
            if type(item) in TAKE:  # of slices it knows nothing: where they are, no table is ordered
                TAKE[type(item)](self, item)
        if self.due:
            if self.listed and (self.urgent or now >= self.solve_at):
                self._solve()
            self._send()
        out, self.out = self.out, []
        return out

    def _wake(self, wake: inputs.TimerFired) -> None:
        if wake.token != self.beat:
            return
        self.beat, self.due = self.beat + 1, True
        self.out.append(orders.StartTimer(BEAT, self.beat))
        if self.terms.watches_endpoints and self.now >= self.follow_at:
            self.out.append(orders.WatchEndpoints(True))
            self.follow_at = self.now + 5.0  # a call that was never answered is asked again
        self.usual = max(self.usual, here := sum(p.rate for p in self.proxies.values()))  # as they joined
        self._probe(here) if self.terms.health_checks and self.listed else None
        self._judge()

    def _listing(self, listing: inputs.EndpointList) -> None:
        if listing.kind not in (
            inputs.ListUpdateKind.CACHED,
            inputs.ListUpdateKind.SUPERSEDED,
        ):  # a call that failed is made again
            again = self.now + self.terms.poll_within_s * self.uniform(0.1, 0.2)
            self.follow_at = again if listing.kind == inputs.ListUpdateKind.FAILED else math.inf
        whole = listing.kind in (inputs.ListUpdateKind.FULL, inputs.ListUpdateKind.CACHED)
        named = {e.worker_index for e in listing.endpoints} if whole else self.bes.keys()
        for index in [i for i in self.bes if i not in named]:
            self._step(index, "leaving", "not listed")
        for e in listing.endpoints:
            be = self.bes.setdefault(
                e.worker_index, WorkerRecord(self.tightest / 64, BIN_STEP, BINS, AVERAGED)
            )
            anew = be.started < e.started_at > self.now - self.terms.warm_up_s
            be.zone, be.weight, be.started = e.zone, max(e.weight, 1e-6), e.started_at
            event = "leaving" if e.state != inputs.EndpointState.READY else "started" if anew else "seen"
            why = f"{e.state.name.lower()}, up {self.now - e.started_at:.1f} s"
            self._step(e.worker_index, event if self.listed or event != "seen" else "listed", why)
        self.listed = self.due = True

    def _step(self, index: int, event: str, why: str) -> None:
        be = self.bes[index]
        if (be.state, event) not in LIFE:
            return
        state, effect = LIFE[be.state, event]
        if be.state not in (state, ABSENT):
            self.out.append(orders.LogModeChange(f"be {index} {be.state}>{state} {event}: {why}"))
        be.state, self.urgent = state, True
        effect(self, be) if effect is not None else None

    def _begin(self, be: WorkerRecord) -> None:
        be.since, be.due, be.slowness, be.held, be.seen, be.lost = self.now, 0.0, 1.0, -1.0, -1.0, 0
        be.fade(0.0)

    def _shut(self, be: WorkerRecord) -> None:
        be.due, be.planned = self.now + (OUT_WAIT * self.uniform(0.9, 1.1) if be.state == OUT else 0.0), 0.0

    def _laid(self, laid: inputs.HeldLoad) -> None:
        if (be := self.bes.get(laid.worker_index)) is not None:
            be.laid = min(laid.requests_per_s, RATE_MOST)

    def _advise(self, advised: inputs.AdvisedFactor) -> None:
        if (be := self.bes.get(advised.worker_index)) is not None:
            be.factors[advised.source] = advised.factor
            be.advised = min(ADVISED_MOST, max(1.0 / ADVISED_MOST, math.prod(be.factors.values())))

    def _remembered(self, life: inputs.RestoredState) -> None:
        """Before anything is heard: who left is out until listed again, suspects as if shut out."""
        self.gate.number, self.rates = life.last_checkpoint, dict(life.proxy_rates)
        for past in life.workers:
            if (be := self.bes.get(past.worker_index)) is not None and be.started == past.started_at:
                be.base, be.slowness = past.base_latency_s, past.latency_factor
                if past.was_draining or past.was_ejected:
                    self._step(past.worker_index, "leaving" if past.was_draining else "bad", "remembered")

    def _aside(self, aside: inputs.ExtraLinesWritten) -> None:
        self.gate.waiting += aside.line_count

    def _tally(self, t: inputs.LoadReport) -> None:
        if (
            (be := self.bes.get(t.worker_index)) is None
            or t.attempts <= 0
            or not likely(t.attempts, t.interval_s, self.usual)
        ):
            return
        be.tries += t.attempts
        be.errored += t.failed
        done, span = be.done.get(t.zone, (0.0, 0.0))
        be.done[t.zone] = (done + t.attempts - t.failed, span + t.interval_s)
        if t.attempts > t.failed and 0 < t.duration_s < NEVER_OVER * self.tightest:
            be.add(t.duration_s, t.attempts - t.failed)
            least, self.mute[be.zone] = self.least[t.zone][be.zone], self.now
            least[0] = min(least[0], t.duration_s)
        load = min(t.metrics.get("util", be.load), NEVER_OVER)
        be.load = load if be.load < 0 else (be.load + load) / 2

    def _ingress(self, u: inputs.ArrivalReport) -> None:
        """Counts over the time they cover: small proxies are heard of seldom; late sums leave them as is."""
        if (p := self.proxies.get(u.proxy)) is not None and likely(u.requests, u.interval_s, p.rate):
            keep = min(1.0, max(0.0, DEMAND_SPAN - u.interval_s) / p.spans[u.class_index])
            p.count[u.class_index] = p.count[u.class_index] * keep + u.requests
            p.spans[u.class_index] = p.spans[u.class_index] * keep + u.interval_s

    def _probe(self, here: float) -> None:
        """Silence and queues show before sums; harms if probes queue.  Lost ones are made again at once."""
        listed = self._in(OUT, *LIVE)
        came = sum(p.came(k) for p in self.proxies.values() for k in range(len(p.count)))
        price = len(listed) * self.terms.health_check_cost / max(1.0, here, came)
        if due := self.now >= self.probe_at + max(PROBE_EVERY, price / PROBE_POINTS):
            self.probe_at = self.now + PROBE_EVERY * self.uniform(-0.1, 0.1)
        self.out += [orders.HealthCheck(i) for i, be in listed.items() if due or 0 < be.lost < PROBES_LOST]

    def _probed(self, p: inputs.HealthCheckResult) -> None:
        if (be := self.bes.get(p.worker_index)) is None:
            return
        be.lost, told = (
            0 if p.succeeded else be.lost + 1,
            p.metrics.get("queue", be.seen),
        )  # one of them, as is set
        be.seen = min(p.metrics.get("inflight", told), NEVER_OVER * (1.0 + self.usual))
        be.held = be.seen if be.held < 0 else (be.held + be.seen) / 2
        if p.succeeded and be.state == OUT and self.now >= be.due:
            self._step(p.worker_index, "due", f"probe answered in {p.duration_s * 1000:.0f} ms")

    def _joined(self, j: inputs.ProxyConnected) -> None:
        self._left(inputs.ProxyDisconnected(j.proxy))
        rate = min(self.rates.pop(j.proxy, j.requests_per_s), RATE_MOST)
        self.proxies[j.proxy] = ProxyRecord(j.zone, rate, len(self.terms.request_classes), self.now)
        self.heard[j.zone] = self.now
        self.gate.written.pop(j.proxy, None)
        self.solve_at = self.now

    def _left(self, left: inputs.ProxyDisconnected) -> None:
        if (proxy := self.proxies.pop(left.proxy, None)) is not None:
            proxy.table.users.pop(left.proxy, None) if proxy.table else None

    def _answered(self, a: inputs.Acknowledged) -> None:
        self.gate.answered(a.checkpoint, a.proxy)
        if (proxy := self.proxies.get(a.proxy)) is not None:
            self.heard[proxy.zone] = self.now
        if proxy and (table := proxy.table) and table.mark == a.checkpoint:
            table.answers += 1
            if table.answers > table.asked / 2 and table.pace == WAITING:
                table.pace, self.due = PACE[table.pace, "answered"], True

    def _in(self, *states: str) -> dict[int, WorkerRecord]:
        return {i: be for i, be in self.bes.items() if be.state in states}

    def _judge(self) -> None:
        """Symptoms to lifecycle steps, each beat.  Harms where unlucky sums look silent; a cap is set."""
        live = self._in(*LIVE)
        tries, errored = sum(be.tries for be in live.values()), sum(be.errored for be in live.values())
        self.strain = errored / tries if tries > 0 else 0.0
        was, self.strained = self.strained, self._overload(list(live.values()))
        self.urgent |= was < 1.0 <= self.strained
        shut = sum(be.weight for be in self._in(OUT).values())
        # Probes lost to most of a group: the way is bad, unless its proxies speak since, but not of answers.
        probed = self._in(OUT, *LIVE).values()
        most = OUT_MOST * sum(be.weight for be in probed)
        mute = [median_or_zero(be.lost for be in probed if be.zone == g) >= 1 for g in self.zones]
        self.mute = [self.mute[g] if mute[g] else self.now for g in self.zones]
        far = [mute[g] and (all(mute) or self.heard[g] <= self.mute[g] + PROBE_EVERY) for g in self.zones]
        for i, be in self.bes.items():
            n, e = be.tries, be.errored
            others = (errored - e) / (tries - n) if tries - n > 0 else 0.0
            silent = n >= BAD_LEAST and e >= SILENT_SHARE * n and others < CALM_SHARE
            lost = be.lost >= PROBES_LOST and not far[be.zone]
            if be.state in LIVE and (silent or lost) and shut + be.weight <= most:
                shut += be.weight
                self._step(i, "bad", f"errored {e:.0f} of {n:.0f}, others {others:.2f}, lost {be.lost}")
            elif be.state == RAMP and self._ease(be) >= 4.0:
                self._step(i, "grown", "ramp over")
            elif be.state == OUT and self.now >= be.due and (far[be.zone] or not self.terms.health_checks):
                self._step(i, "due", "waited")

    def cold(self, be: WorkerRecord) -> bool:
        return be.started > 0 and self.now - be.started < self.terms.warm_up_s

    def _ease(
        self, be: WorkerRecord
    ) -> float:  # a ramp's share of average: a quarter, doubled each interval (design)
        return float(NEW_SHARE * 2.0 ** min(10.0, max(0.0, self.now - be.since) // INTERVAL))

    def _measure(self) -> None:
        """Once an interval: capacity samples, slowness, levels, and the halving of what was counted."""
        self._forget()
        live = self._in(*LIVE)
        held = {i: (not self.striking) * be.held / be.weight for i, be in live.items()}  # told before sums
        usual_held = max(1.0, median_or_zero(held.values()))
        for i, be in self.bes.items():
            rate = sum(done / span for done, span in be.done.values() if span > 0)
            if be.load >= 0 and rate > 0 and self.part[be.zone] >= PART_LEAST and not self.cold(be):
                be.measured.append((rate / self.part[be.zone], max(LOAD_FLOOR, be.load)))
            be.done.clear()
            if (mean := be.mean()) > 0 and (be.base or held.get(i, 0.0) < SLOW_OVER * usual_held):
                be.base += (mean - be.base) * (BASE_FALL if mean < be.base else BASE_RISE if be.base else 1.0)
        over = {i: be.mean() / be.base for i, be in live.items() if be.base > 0}
        bad = {i: be.errored / be.tries for i, be in live.items() if be.tries >= 1.0}
        usual_over, usual_bad = (median_or_zero(each.values()) for each in (over, bad))
        jam = max(1.0, self.strained)  # in a jam times lie far apart by chance: weights must not chase them
        for i, be in live.items():
            late = max(over.get(i, 0.0) / max(usual_over, 1e-9), held[i] / usual_held, 1e-9)
            aim = min(1.0, jam * SLOW_OVER / late)
            aim *= min(1.0, (1.0 - bad.get(i, 0.0)) / max(0.1, 1.0 - usual_bad)) ** (ERRED_POWER / jam)
            step = SLOW_FALL if aim < be.slowness else SLOW_RISE
            be.slowness = max(SLOW_LEAST, be.slowness + (aim - be.slowness) * step)
            be.fade(KEEP)
        for g in self.zones:  # moved at once, all managers leave a zone that jams, and the next one jams
            now = fmean([be.slowness for be in live.values() if be.zone == g] or [1.0])
            self.trust[g] += (now - self.trust[g]) * ZONE_STEP
            self.steady[g] = self.trust[g] / now
        before, strained = (
            self.let_in,
            self.strained * (self.terms.admission_mode != "none"),
        )  # else none is denied
        step = LEVEL_STEP * (LEVEL_CALM - strained) * (not LEVEL_CALM <= strained <= 1.0)
        self.let_in = min(1.0, max(LEVEL_FLOOR, before + max(-LEVEL_MOST, step)))
        if (before < 1.0) != (self.let_in < 1.0):
            self.out.append(
                orders.LogModeChange(f"levels {before:.2f}>{self.let_in:.2f}: overload {strained:.2f}")
            )
        self.least = [[[math.inf, *least[:-1]] for least in row] for row in self.least]

    def _forget(self) -> None:
        """Who is long gone and in no table is known no more; waits for who may hold others' tables."""
        bound = sum(len(t.users) for t in self.tables) == len(self.proxies)
        held = {i for t in self.tables for i in t.sent}
        for i, be in self._in(GONE).items() if bound else ():
            if self.now - be.due > GONE_FOR and i not in held and not be.laid:
                del self.bes[i]
                self.out += [orders.ExcludeWorker(i, False), orders.RemoveWorker(i)]

    def _overload(self, live: list[WorkerRecord]) -> float:
        """How far most servers show overload, from 1: errors, time, reqs held over rate (Little), load."""
        queue = median_or_zero(be.seen / max(be.was, be.planned) for be in live if be.seen >= 0 < be.planned)
        erred = median_or_zero(be.errored / be.tries for be in live if be.tries >= 1.0)
        time = (queue or median_or_zero(be.mean() for be in live if be.mean() > 0)) / self.tightest
        load = median_or_zero(be.load for be in live if be.load >= 0)
        calm = max(time / STRAIN_TIME, max(load, min(self.level, LOAD_OVER * load)) / STRAIN_LOAD)
        return max(calm, min(erred / STRAIN_ERRED, CALM_TWICE * calm))  # errors alone: clients or the way

    def _estimates(self) -> dict[int, float]:
        """Each usable server's estimate; from sums, as little reported load would sway a mean of ratios."""
        live = self._in(*LIVE) or self._in(OUT)
        sums = {i: [sum(c) for c in zip(*be.measured, strict=True)] for i, be in live.items() if be.measured}
        heard = {i: rate / load / live[i].weight for i, (rate, load) in sums.items()}
        unit = (
            median_or_zero(heard.values()) or 1.0
        )  # listed sizes know no speed: capacities or else base times do
        base = median_or_zero(be.base for be in live.values() if be.base > 0)
        full = {}
        for i, be in live.items():
            speed = heard[i] / unit if i in heard else base / be.base if be.base > 0 else 1.0
            full[i] = be.weight * unit * min(SPEED_SPAN, max(1 / SPEED_SPAN, speed))
        self.whole = sum(full.values())  # before any trouble: what cold servers' parts are measured by
        # Avoiding proxies turn to cold servers at any weight, before sums tell; harms deploys in overload.
        # The strikes that takes come too slowly where a proxy brings a server a req each few seconds; of few
        rates, few = [p.rate for p in self.proxies.values()], median_or_zero(len(t.want) for t in self.tables)
        per_line = max(len(self.zones) / max(1, len(live)), FEW_PART / (few or math.inf))  # all are struck
        self.striking = self.terms.proxies_eject_outliers and sum(
            r * r for r in rates
        ) * per_line > AVOID_RATE * sum(rates)
        for i, be in live.items():
            most = self.whole / len(full) * self._ease(be) if be.state == RAMP else math.inf
            full[i] *= be.slowness * self.steady[be.zone] * min(be.advised, 1.0 if self.cold(be) else 1e9)
            full[i] = min(most, full[i])
            if self.cold(be):  # what it surely does by now
                age = (self.now - be.started) / self.terms.warm_up_s
                sure = self.terms.warm_up_start_ratio + (1.0 - self.terms.warm_up_start_ratio) * age
                young = sure < COLD_YOUNG or self.beat < BLIND_BEATS
                strain = max(COLD_CALM * self.strain, self.strained, float(self.let_in < 1.0 or young))
                held = be.seen / max(1.0, be.planned * self.tightest * STRAIN_TIME)  # it may be slow as well
                part = min(1.0, COLD_PART * self.terms.collapse_multiple) / max(1.0, held)
                full[i] *= sure * part * max(0.0, 1.0 - self.striking * strain)
        return {i: c for i, c in full.items() if c > 0} or dict.fromkeys(full, 1.0)

    def _demand(self) -> tuple[list[float], list[float]]:
        """Own demand by zone, and others': what they told, and a guess for proxies that are still missing."""
        own, others, count = ([0.0] * len(self.zones) for _ in range(3))
        for p in self.proxies.values():
            own[p.zone] += sum(p.came(k) for k in range(len(p.count)))
            count[p.zone] += 1
        for at, told in self.told.values():
            for z in self.zones if self.now - at < TOLD_FOR * INTERVAL else ():
                count[z], others[z] = count[z] + told[2 * z], others[z] + told[2 * z + 1]
        missing = self.terms.proxy_count - sum(count)
        if missing < 0:  # who has come over since is still told of as there: nobody counts twice
            others = [max(0.0, o + o * missing / max(1.0, sum(count) - len(self.proxies))) for o in others]
        gaps = [max(0.0, self.terms.proxy_count / len(self.zones) - c) for c in count]
        if self.terms.manager_count > 1 and missing > 0 and self.proxies and sum(gaps) > 0:
            each = fmean(p.rate for p in self.proxies.values())  # few carry most: a median is far below
            others = [o + missing * each * gap / sum(gaps) for o, gap in zip(others, gaps, strict=True)]
        return own, others

    def _tell(self, own: list[float]) -> None:
        """Proxies and demand by zone, for those who can't see them; a lost word is a guess again."""
        at = [p.zone for p in self.proxies.values()]
        counts = [at.count(z) for z in self.zones]
        self.out += [orders.SendGossip(-1, text) for text in encode_zone_figures(counts, own, WORDS_MOST)]

    def _hint(self, hint: inputs.GossipReceived) -> None:
        told = decode_zone_figures(hint.text, len(self.zones), WORDS_MOST)
        whole = self.told.get(hint.sender, (0.0, [0.0] * 2 * len(self.zones)))[1]
        if told is not None:
            whole[2 * told.first_zone : 2 * told.first_zone + len(told.figures)] = told.figures
            self.told[hint.sender] = (self.now, whole)

    def _solve(self) -> None:
        if fresh := self.now >= self.measure_at:
            self._measure()
            self.measure_at = self.now + INTERVAL
        self.solve_at, self.urgent = self.now + INTERVAL, False
        full = self.full = self._estimates()
        own, others = self._demand()
        self._tell(own) if fresh and self.terms.gossip else None
        demand = [(a + b) * self.let_in for a, b in zip(own, others, strict=True)]  # others deny as much
        # Held connections lie where they are: reqs fill the rest.  Harms where one is stated too high.
        if laid := sum(self.bes[i].laid for i in full):
            unit = sum(full.values()) / (sum(demand) + laid)
            full = {i: max(LAID_LEAST * c, c - unit * self.bes[i].laid) for i, c in full.items()}
        groups = [[i for i in full if self.bes[i].zone == g] for g in self.zones]
        room = [sum(full[i] for i in group) for group in groups]
        least = [[min(times) for times in row] for row in self.least]
        usual = median_or_zero(v for row in least for v in row if v < math.inf)

        def price(z: int, g: int) -> float | None:  # own links stay: what slows them is servers, not the way
            near = z == g or not LINK_OVER * usual <= least[z][g] < math.inf
            return CROSS_COST * (z != g) if near and groups[g] else None

        level = sum(demand) / sum(room) if sum(room) > 0 else 0.0
        self.level = level * any(be.measured for be in self.bes.values())  # listed sizes have no unit
        above = level * (1.0 + SLACK + SLACK_FOR_PRICE * self.terms.cross_zone_cost)
        cost = [[price(z, g) for g in self.zones] for z in self.zones]
        flow = min_cost_flow(demand, [c * above for c in room], cost)
        warm = {i: c for i, c in full.items() if not self.cold(self.bes[i])}
        for z in self.zones:
            able = [g for g in self.zones if any(i in warm for i in groups[g])] or list(self.zones)
            home = min(able, key=lambda g: (g != z, not groups[g], least[z][g]))
            flow[z][home] += max(0.0, demand[z] - sum(flow[z]))
            total = sum(flow[z])
            shares = [f / total if total > 0 else float(g == home) for g, f in enumerate(flow[z])]
            kept = [i for g in self.zones if shares[g] >= LEAST_SHARE for i in groups[g]]
            want = {i: shares[self.bes[i].zone] * full[i] / room[self.bes[i].zone] for i in kept}
            if warm and not any(i in warm for i in want):
                want = {i: c / sum(warm.values()) for i, c in warm.items()}
            most = COLD_OVER / max(1.0, self.strained) * sum(demand) / max(self.whole * total, 1e-9)
            self._deal(z, {i: w if i in warm else min(w, most * full[i]) for i, w in want.items()}, warm)
        for g in self.zones:
            total = sum(flow[z][g] for z in self.zones)
            for be, c in [(self.bes[i], full[i]) for i in groups[g]]:
                be.was, be.planned = be.planned if fresh else be.was, total * c / room[g]
            mine = sum(flow[z][g] * own[z] / (own[z] + others[z]) for z in self.zones if demand[z] > 0)
            self.part[g] = mine / total if total > 0 else 1.0

    def _tables(self, z: int, lines: int, most: int) -> list[RoutingTable]:  # dealt anew only if far too few
        parts = 1 if lines <= most else math.ceil(2 * lines / most)
        tables = [t for t in self.tables if t.zone == z]
        if parts > 2 * len(tables) or (parts != len(tables) and not any(t.users for t in tables)):
            for p in [p for t in tables for p in t.users]:
                self.proxies[p].table = None
            tables = [RoutingTable((self.numbers + n) % orders.ALL_TABLES, z) for n in range(parts)]
            self.numbers += parts
            self.tables = [t for t in self.tables if t.zone != z] + tables
        return tables

    def _deal(self, z: int, want: dict[int, float], warm: dict[int, float]) -> None:
        """A zone's tables: several, where binding all proxies to whole ones would outlast the drains' grace.
        Servers lie on a ring by weight; a table is cut out of it from where its proxies' reqs begin to where
        the next one's end, or nearer: together they lay all.  Harms where a table's few fail together."""
        each = (
            BOUND_WITHIN
            * self.terms.drain_grace_s
            * self.terms.channel_lines_per_s
            / max(1, self.terms.proxy_count)
        )
        most = max(LINES_LEAST, int(each) - self.terms.message_header_lines - 2)
        tables = self._tables(z, sum(self.bes[i].zone == z for i in want) or len(want), most)
        for t in tables:
            t.reqs = sum(
                self.proxies[p].came(k) for p in t.users for k in range(len(self.terms.request_classes))
            )
        least = max(1e-9, sum(t.reqs for t in tables)) / len(tables) / 2  # for who is yet to be bound
        reqs = [max(t.reqs, least) for t in tables]
        edges = [sum(reqs[:n]) / sum(reqs) for n in range(len(reqs) + 1)] + [1.0 + reqs[0] / sum(reqs)]
        over = min(1.0, max(0.0, most * len(tables) / max(1, len(want)) - 1.0))
        ring = dict(sorted(want.items(), key=lambda line: line[0] * GOLDEN % 1.0))
        for n, t in enumerate(tables):
            end = edges[n + 1] + over * (edges[n + 2] - edges[n + 1])
            t.want = want if len(tables) <= 2 else cut(ring, edges[n], end, MOVE)
            if warm and not t.want.keys() & warm.keys():
                t.want = cut({i: w for i, w in ring.items() if i in warm}, edges[n], end, MOVE)

    def _send(self) -> None:
        """Of a server that leaves hears by its line who is bound; who is not yet, by being bound; shut out it
        is only where no table can be laid, as a proxy keeps what it shuts out across its streams."""
        self.gate.open(self.now)
        self.levels = self._levels() if self.terms.admission_mode != "none" else {}
        laid, here = {t.zone for t in self.tables if t.want}, self.proxies.values()
        stuck = self.terms.slice_count or any(x.zone not in laid for x in here)
        for i, be in self.bes.items():  # a line for who holds it: others get no message, so answer no mark
            if be.cordoned != (on := be.state == GONE) and (stuck or not on):
                cost = {p: 1 for p, x in self.proxies.items() if x.table is None or i in x.table.sent}
                be.cordoned = on == self.gate.put([orders.ExcludeWorker(i, on)], cost, RULES)
        self._send_binds() if not self.terms.slice_count else None
        hold = math.inf if all(x.table for x in here) else self.now - GONE_WAIT * self.terms.drain_grace_s
        told = [(min((self.bes[i].due for i in self._gone(t)), default=math.inf), t) for t in self.tables]
        for first, table in sorted(told, key=lambda pair: pair[0]):
            self._send_delta(table, self._gone(table) if first <= hold else [], True)
        heavy = self._heavy()  # of cold ones, also by what those that left have left to them
        for table in self.tables:
            self._send_delta(table, [i for i in table.sent if i in heavy], False)
        wrote, (changes, mark) = self.gate.lines, self.gate.close()
        self.out += changes
        for table in self.tables:
            if asked := sum(p in wrote for p in table.users):
                table.mark, table.at, table.answers, table.asked = mark, self.now, 0, asked
                table.pace = PACE[table.pace, "sent"]

    def _heavy(self) -> set[int]:
        """Cold or shut out servers that all tables together bring more than they should."""
        guarded = {i for i, be in self._in(OUT, *LIVE).items() if be.state == OUT or self.cold(be)}
        sent, want = (dict.fromkeys(guarded, 1e-9) for _ in range(2))
        for t in self.tables if guarded else ():
            for lines, sums in (t.sent, sent), (t.want, want):
                unit = (t.reqs + 1e-6 * len(t.users)) / max(1e-9, sum(lines.values()))
                for i in lines.keys() & guarded:
                    sums[i] += lines[i] * unit
        return {i for i in guarded if sent[i] > COLD_OVER * want[i]}

    def _gone(self, table: RoutingTable) -> list[int]:
        return [i for i in table.sent if self.bes[i].state == GONE]

    def _send_binds(self) -> None:
        """Busiest first, unless some have waited for long, with tables that may name servers that left."""
        old = self.now - GONE_WAIT * self.terms.drain_grace_s
        unbound = ((x.since > old, -x.rate, p) for p, x in self.proxies.items() if x.table is None)
        for young, _, p in sorted(unbound):
            x, way = self.proxies[p], BINDS if young else RULES
            if self.gate.room([p], way) <= 0:
                break  # nor is there room for who comes behind
            here = [t for t in self.tables if t.zone == x.zone]
            table = min(here, key=lambda t: (bool(self._gone(t)), t.reqs, t.number))
            self._send_delta(table, self._gone(table), True)  # else who is bound to it is written again
            if not table.users:  # nobody reads the table: laying it costs nothing
                self.gate.put(self._changes(table, 0.0, 65536, []), {}, RULES)
            told = [i for i in table.sent if not self.bes[i].cordoned]  # others are told of as shut out
            lines = 1 + 2 * len(table.sent) - len(told) + len(table.levels) + self.gate.added(p, told, True)
            if table.sent and self.gate.put([orders.BindProxy(p, table.number, 0)], {p: lines}, way):
                table.users[p], x.table, table.reqs = None, table, table.reqs + x.rate

    def _send_delta(self, table: RoutingTable, heavy: list[int], gone: bool) -> None:
        """In pieces, largest changes first.  Who left, too heavy lines, bare tables wait for no answers."""
        if self.now - table.at > ANSWER_WAIT:
            table.pace = PACE.get((table.pace, "late"), table.pace)
        heavy = [i for i in heavy if not self.bes[i].cordoned]
        lasting = [i for i in table.want if not self.cold(self.bes[i])] or table.want
        stays = any(i in lasting and i not in heavy for i in table.sent)  # else lines come before others go
        calm = table.pace == WAITING and stays
        if not table.users or not table.want or (not heavy and (gone or calm)):
            return
        way = RULES if gone or not stays else BINDS if heavy else DELTAS
        sent, levels = dict(table.sent), dict(table.levels)
        room = max(0, self.gate.room(table.users, way) // len(table.users))
        if heavy and stays:  # what is left takes the part of what goes, cold ones too: the rest comes along
            room = min(room, max(len(heavy), self.gate.room(table.users, DELTAS) // len(table.users)))
        changes = self._changes(table, MOVE, room, heavy if stays else [])
        laid = [o.worker_index for o in changes if isinstance(o, orders.SetWeight) and o.weight > 0]
        cost = {p: len(changes) + self.gate.added(p, laid, False) for p in table.users} if changes else {}
        if not self.gate.put(changes, cost, way):
            table.sent, table.levels = sent, levels

    def _changes(self, table: RoutingTable, past: float, most: int, first: list[int]) -> list[orders.Order]:
        """At most so many orders that turn what was sent into what is wanted, which then count as sent."""
        changes: list[orders.Order] = []
        for k, (share, level) in self.levels.items():
            if abs(share - table.levels.get(k, -1.0)) > past or (share >= 1.0 > table.levels.get(k, 1.0)):
                table.levels[k] = share
                changes.append(
                    orders.SetAdmission(table.number, level, 1 << k, orders.RetryPolicy.IF_NOT_STARTED)
                )
        moves = {i: table.want.get(i, 0.0) - table.sent.get(i, 0.0) for i in table.want | table.sent}
        moves = {i: d for i, d in moves.items() if abs(d) > past * table.sent.get(i, 0.0)}
        bare = not any(i in table.want for i in table.sent)
        size = {i: -abs(d) * (not self.bes[i].cordoned) for i, d in moves.items()}
        rank = {i: (i not in first, bare and d < 0, size[i]) for i, d in moves.items()}
        for i in sorted(moves, key=rank.__getitem__)[: max(0, most - len(changes))]:
            changes.append(orders.SetWeight(table.number, i, table.want.get(i, 0.0)))
            table.sent.pop(i, None)
            table.sent.update({i: table.want[i]} if i in table.want else {})
        return changes

    def _levels(self) -> dict[int, tuple[float, float]]:
        """What is let in of each kind: the kinds worth least for their response target are denied first."""
        kinds = self.terms.request_classes
        came = [sum(p.came(k) for p in self.proxies.values()) for k in range(len(kinds))]
        deny, shares = (1.0 - self.let_in) * sum(came), dict[int, float]()
        for k in sorted(
            range(len(kinds)), key=lambda k: kinds[k].priority_weight / kinds[k].latency_objective_s
        ):
            denied = min(deny, came[k] * (1.0 - LEVEL_LEAST))
            shares[k] = 1.0 - denied / came[k] if came[k] > 0 else 1.0
            deny -= denied
        return {k: (share, self._let_in(k, share)) for k, share in shares.items()}

    def _let_in(self, k: int, share: float) -> float:
        """A share as proxies take it; as a rate, one that lets in this share of all, small ones whole."""
        if self.terms.admission_mode == "ratio":
            return share
        came = sorted(p.came(k) for p in self.proxies.values())
        left = share * sum(came)
        for n, rate in enumerate(came):
            if share < 1.0 and rate * (len(came) - n) >= left:
                return max(0.1, left / (len(came) - n))
            left -= rate
        return 1e6


LIFE: dict[tuple[str, str], tuple[str, Callable[[RoutingController, WorkerRecord], None] | None]] = {
    **{(state, "started"): (RAMP, RoutingController._begin) for state in (ABSENT, GONE, OUT, *LIVE)},
    **{(state, "leaving"): (GONE, RoutingController._shut) for state in (ABSENT, OUT, *LIVE)},
    **{(state, "bad"): (OUT, RoutingController._shut) for state in LIVE},
    **{(state, "seen"): (RAMP, RoutingController._begin) for state in (ABSENT, GONE)},
    (ABSENT, "listed"): (WELL, None),
    (RAMP, "grown"): (WELL, None),
    (OUT, "due"): (RAMP, RoutingController._begin),
}
PACE = dict.fromkeys([(IDLE, "sent"), (WAITING, "sent")], WAITING)
PACE |= dict.fromkeys([(WAITING, "answered"), (WAITING, "late")], IDLE)
TAKE: dict[type, Callable[..., None]] = {
    inputs.EndpointList: RoutingController._listing,
    inputs.TimerFired: RoutingController._wake,
    inputs.HealthCheckResult: RoutingController._probed,
    inputs.ProxyConnected: RoutingController._joined,
    inputs.ProxyDisconnected: RoutingController._left,
    inputs.LoadReport: RoutingController._tally,
    inputs.ArrivalReport: RoutingController._ingress,
    inputs.GossipReceived: RoutingController._hint,
    inputs.Acknowledged: RoutingController._answered,
    inputs.HeldLoad: RoutingController._laid,
    inputs.ExtraLinesWritten: RoutingController._aside,
    inputs.AdvisedFactor: RoutingController._advise,
    inputs.RestoredState: RoutingController._remembered,
}
