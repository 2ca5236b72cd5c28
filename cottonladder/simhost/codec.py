"""The simulator's JSON wire to the interface types and back; no decision is taken here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..decisions import interface as it


class WireError(ValueError):
    """A message that the wire page does not allow; its text is one plain line."""


_NUMBER = (int, float)
_MISSING = object()


def field(body: Any, name: str, types: Any, where: str, default: Any = _MISSING) -> Any:
    """One field of a message, checked for its type; bools never pass for numbers."""
    if not isinstance(body, dict):
        raise WireError(f"{where}: not an object")
    value = body.get(name)
    if value is None:
        if default is _MISSING:
            raise WireError(f"{where}: field {name} is missing")
        return default
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise WireError(f"{where}: field {name} has the wrong type ({type(value).__name__})")
    return value


def _seconds(body: Any, name: str, where: str, default: Any = _MISSING) -> float:
    value = field(body, name, _NUMBER, where, default)
    return float(value) / 1000.0


class Door:
    """One instance's door: its ids and names become small indices, its milliseconds seconds."""

    def __init__(self, body: dict[str, Any], where: str) -> None:
        info = field(body, "Info", dict, where)
        self.zones: list[str] = list(field(info, "Zones", list, where))
        profiles = field(info, "Profiles", list, where)
        self.lanes: list[str] = [field(p, "Name", str, where) for p in profiles]
        self.be_ids: list[int] = []
        self._be_index: dict[int, int] = {}
        self.terms = self._terms(info, profiles, field(body, "Prng", int, where), where)

    def _terms(self, info: dict[str, Any], profiles: list[Any], seed: int, where: str) -> it.Terms:
        fam = field(info, "FamilyInfo", dict, where)
        rules = field(info, "Rules", dict, where)
        limits = field(info, "Limits", dict, where)
        prices = field(info, "Prices", dict, where)
        kinds = tuple(
            it.ReqKind(
                response_target=_seconds(p, "TargetMs", where),
                importance=float(field(p, "Gain", _NUMBER, where)),
            )
            for p in profiles
        )
        return it.Terms(
            seed=seed,
            managers=field(info, "NInstances", int, where),
            zones=len(self.zones),
            kinds=kinds,
            proxies=field(fam, "Proxies", int, where),
            list_on_request=field(info, "Discovery", str, where) == "subscribe",
            ask_within=_seconds(rules, "AskWithinMs", where, 0.0),
            probing=field(limits, "Probing", bool, where, False),
            peers=field(limits, "Peers", bool, where, False),
            levels=field(fam, "ThrottleBy", str, where, "none"),
            slices=field(fam, "KeyRanges", int, where, 0),
            single_owner=field(fam, "SingleWriter", bool, where, False),
            lines_per_s=float(field(fam, "EgressPerS", _NUMBER, where)),
            head_lines=int(field(fam, "Head", _NUMBER, where)),
            waiting_most=float(field(fam, "PendingMax", _NUMBER, where)),
            messages_most=int(field(fam, "ReloadsMax", _NUMBER, where, 0)),
            messages_span=_seconds(fam, "ReloadSpanMs", where, 0.0),
            cold_share=float(field(rules, "ColdFrom", _NUMBER, where)),
            fall_multiple=float(field(rules, "FallMultiple", _NUMBER, where)),
            avoids=field(fam, "Strikes", _NUMBER, where, 0) > 0,
            warm_after=_seconds(rules, "WarmAfterMs", where),
            cross_zone_price=float(field(prices, "CrossZone", _NUMBER, where, 0.0)),
            probe_price=float(field(prices, "Probe", _NUMBER, where, 0.0)),
        )

    def _zone(self, name: str, where: str) -> int:
        if name not in self.zones:
            raise WireError(f"{where}: unknown zone")
        return self.zones.index(name)

    def _lane(self, name: str, where: str) -> int:
        if name not in self.lanes:
            raise WireError(f"{where}: unknown class")
        return self.lanes.index(name)

    def _be(self, body: Any, where: str) -> int:
        wire_id = field(body, "Worker", int, where)
        index = self._be_index.get(wire_id)
        if index is None:
            index = self._be_index[wire_id] = len(self.be_ids)
            self.be_ids.append(wire_id)
        return index

    def _report(self, body: Any, where: str) -> dict[str, float]:
        pairs = field(body, "HealthInfo", dict, where, {})
        return {k: float(v) for k, v in pairs.items() if isinstance(v, _NUMBER)}

    def _entry(self, body: Any, where: str) -> it.Entry:
        mode = field(body, "Mode", int, where)
        if mode not in (0, 1, 2):
            raise WireError(f"{where}: field Mode has an unknown value")
        return it.Entry(
            be=self._be(body, where),
            zone=self._zone(field(body, "Locality", str, where), where),
            mode=it.Mode(mode),
            weight=float(field(body, "Size", _NUMBER, where, 1.0)),
            started=_seconds(body, "CameUpMs", where, 0.0),
        )

    def _sync(self, b: Any, w: str) -> it.Input:
        how = field(b, "How", int, w)
        if how not in (0, 1, 2, 3):
            raise WireError(f"{w}: field How has an unknown value")
        entries = field(b, "Entries", list, w, [])
        return it.Listing(it.News(how), tuple(self._entry(e, w) for e in entries))

    def _wake(self, b: Any, w: str) -> it.Input:
        return it.Wake(field(b, "Nonce", int, w))

    def _probed(self, b: Any, w: str) -> it.Input:
        done = field(b, "StateCode", str, w) == "served"
        return it.Probed(self._be(b, w), done, _seconds(b, "RttMs", w, 0.0), self._report(b, w))

    def _hint(self, b: Any, w: str) -> it.Input:
        return it.Hint(field(b, "From", int, w), field(b, "Data", str, w, ""))

    def _joined(self, b: Any, w: str) -> it.Input:
        return it.Joined(
            field(b, "Proxy", int, w),
            self._zone(field(b, "Locality", str, w), w),
            float(field(b, "Size", _NUMBER, w, 0.0)),
            field(b, "Active", bool, w, False),
        )

    def _left(self, b: Any, w: str) -> it.Input:
        return it.Left(field(b, "Proxy", int, w))

    def _tally(self, b: Any, w: str) -> it.Input:
        return it.Tally(
            self._be(b, w),
            self._zone(field(b, "Locality", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            _seconds(b, "ElapsedMs", w),
            _seconds(b, "RttMs", w, 0.0),
            self._report(b, w),
        )

    def _ingress(self, b: Any, w: str) -> it.Input:
        return it.Ingress(
            field(b, "Proxy", int, w),
            self._lane(field(b, "Lane", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            _seconds(b, "ElapsedMs", w),
        )

    def _slice_load(self, b: Any, w: str) -> it.Input:
        return it.SliceLoad(
            field(b, "SetId", int, w),
            self._lane(field(b, "Lane", str, w), w),
            field(b, "Many", int, w),
            field(b, "Failed", int, w, 0),
            _seconds(b, "ElapsedMs", w),
        )

    def _given(self, b: Any, w: str) -> it.Input:
        return it.Given(field(b, "SetId", int, w), field(b, "Active", bool, w, False))

    def _stored(self, b: Any, w: str) -> it.Input:
        return it.Stored(field(b, "SetId", int, w), self._be(b, w), float(field(b, "Size", _NUMBER, w, 1.0)))

    def _answered(self, b: Any, w: str) -> it.Input:
        return it.Answered(field(b, "Proxy", int, w), field(b, "Rev", int, w), _seconds(b, "RttMs", w, 0.0))

    def read(self, name: str, body: Any, where: str) -> it.Input:
        """One event of the wire as an input of the decisions."""
        reader = _EVENTS.get(name)
        if reader is None:
            raise WireError(f"{where}: unknown event")
        return reader(self, body, where)

    def write(self, order: it.Order) -> dict[str, Any]:
        """One order of the decisions as an action of the wire."""
        return _ACTIONS[type(order)](self, order)


_EVENTS: dict[str, Callable[[Door, Any, str], it.Input]] = {
    "SYNC": Door._sync,
    "WAKE": Door._wake,
    "PROBE_DONE": Door._probed,
    "HEARD": Door._hint,
    "CONNECTED": Door._joined,
    "LOST_STREAM": Door._left,
    "TALLY": Door._tally,
    "INGRESS": Door._ingress,
    "SLICE_LOAD": Door._slice_load,
    "GIVEN": Door._given,
    "STORED_LINE": Door._stored,
    "CAUGHT_UP": Door._answered,
}

_ACTIONS: dict[type, Callable[[Door, Any], dict[str, Any]]] = {
    it.SetLine: lambda d, o: {
        "UPSERT": {"SetId": o.table, "Worker": d.be_ids[o.be], "Size": o.weight}
    },
    it.Empty: lambda d, o: {"EMPTY": {"SetId": o.table}},
    it.Bind: lambda d, o: {"PIN": {"Proxy": o.proxy, "SetId": o.table, "Only": o.kinds}},
    it.Cordon: lambda d, o: {"CORDON": {"Active": o.on, "Worker": d.be_ids[o.be]}},
    it.Level: lambda d, o: {
        "ADMIT": {"SetId": o.table, "LetIn": o.let_in, "Only": o.kinds, "OnFailure": int(o.further)}
    },
    it.Mark: lambda d, o: {"STAMP": {"Active": o.everyone, "Rev": o.number}},
    it.Follow: lambda d, o: {"WATCH": {"Active": o.on}},
    it.FetchList: lambda d, o: {"GET_LIST": {}},
    it.Probe: lambda d, o: {"SOUND_OUT": {"Worker": d.be_ids[o.be]}},
    it.Tell: lambda d, o: {"BROADCAST_TO": {"Whom": o.whom, "Data": o.text}},
    it.WakeIn: lambda d, o: {"DEFER": {"SleepForMs": o.after * 1000.0, "Nonce": o.token}},
    it.Remark: lambda d, o: {"REMARK": {"Words": o.text}},
}
