"""Plays the scenarios of tests/spread: orders in, what they cost and send at each proxy out.

    kinds NAME .. | managers N      come first; one manager if not said
    listed bN[^STARTED] ..          discovery lists these
    join pN [fresh] | left pN
    line TABLE bN WEIGHT | empty TABLE | bind pN TABLE all|KIND | cordon bN | uncordon bN
    level TABLE|all KIND LET_IN AGAIN | mark N [everyone]
    refused ORDER                   an order that must never be sent
    costs pN=LINES ..               lines since the last `costs` or `sends` to that proxy; all others none
    sends pN WORDS | WORDS ..       its whole message since the last `sends`, part by part; or: nothing
"""

from __future__ import annotations

import unittest
from pathlib import Path

from cottonladder.decisions import interface as it
from cottonladder.state.spread import Spread
from cottonladder.state.workers import Workers
from cottonladder.wire.resp import MESSAGE_MOST, Reader


class Player:
    def __init__(self) -> None:
        self.kinds, self.managers, self.workers = ["fetch"], 1, Workers()
        self.spread: Spread | None = None
        self.seen: dict[int, int] = {}
        self.sent: dict[int, bytes] = {}

    def line(self, words: list[str]) -> None:
        verb, args = words[0], words[1:]
        if verb == "kinds":
            self.kinds = args
        elif verb == "managers":
            self.managers = int(args[0])
        elif verb == "listed":
            for arg in args:
                name, _, started = arg.partition("^")
                self.workers.learn(name, "", float(started or 0))
            self.spread = Spread(self.kinds, self.managers, self.workers)
        elif self.spread is None:
            raise ValueError("nobody is listed yet")
        elif verb == "join":
            self.spread.joined(int(args[0][1:]), args[1:] == ["fresh"])
            self.seen.pop(int(args[0][1:]), None)
        elif verb == "left":
            self.spread.left(int(args[0][1:]))
            self.seen.pop(int(args[0][1:]), None)
        elif verb == "costs":
            lines = self.spread.lines()
            costs = {p: n - self.seen.get(p, 0) for p, n in lines.items() if n > self.seen.get(p, 0)}
            expect(costs, {int(p[1:]): int(n) for p, _, n in (a.partition("=") for a in args)})
            self.seen = lines
        elif verb == "sends":
            self.sent.update(self.spread.messages())
            self.seen = {}
            messages = list(Reader(MESSAGE_MOST).feed(self.sent.pop(int(args[0][1:]), b"")))
            expect({m[0] for m in messages} or {b"CONFIG"}, {b"CONFIG"})
            parts = [b" ".join(m[1:]).decode() for m in messages]
            expect(" | ".join(parts) or "nothing", " ".join(args[1:]))
        elif verb == "refused":
            if not self.spread.take(self.order(args[0], args[1:])):
                raise AssertionError("was taken")
        else:
            expect(self.spread.take(self.order(verb, args)), "")

    def order(self, verb: str, args: list[str]) -> it.Order:
        if verb == "line":
            return it.SetLine(int(args[0]), int(args[1][1:]), float(args[2]))
        if verb == "empty":
            return it.Empty(int(args[0]))
        if verb == "bind":
            kinds = 0 if args[2] == "all" else 1 << self.kinds.index(args[2])
            return it.Bind(int(args[0][1:]), int(args[1]), kinds)
        if verb in ("cordon", "uncordon"):
            return it.Cordon(int(args[0][1:]), verb == "cordon")
        if verb == "level":
            table = it.ALL_TABLES if args[0] == "all" else int(args[0])
            further = it.Further(int(args[3]))
            return it.Level(table, float(args[2]), 1 << self.kinds.index(args[1]), further)
        if verb == "mark":
            return it.Mark(int(args[0]), args[1:] == ["everyone"])
        raise ValueError(f"unknown word {verb}")


def expect(seen: object, wanted: object) -> None:
    if seen != wanted:
        raise AssertionError(f"{seen!r} instead")


class Spreads(unittest.TestCase):
    def test_a_table_beyond_one_part(self) -> None:
        """All its lines arrive, in parts that the protocol takes; the last says that none follows."""
        workers = Workers()
        spread = Spread(["fetch"], 1, workers)
        spread.joined(0, True)
        for n in range(50_000):
            spread.take(it.SetLine(1, workers.learn(f"s-{n:040}", "", 0.0), 1.5))
        spread.take(it.Bind(0, 1, 0))
        ((_, data),) = spread.messages()
        parts = list(Reader(MESSAGE_MOST).feed(data))
        self.assertEqual(sum(part[part.index(b"rows") + 1].count(b":") for part in parts), 50_000)
        self.assertEqual([b"part" in part for part in parts], [True] * (len(parts) - 1) + [False])
        self.assertTrue(all(sum(map(len, part)) < MESSAGE_MOST for part in parts))

    def test_scenarios(self) -> None:
        paths = sorted((Path(__file__).parent / "spread").glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            player = Player()
            for number, raw in enumerate(path.read_text().splitlines(), 1):
                words = raw.split("#")[0].split()
                with self.subTest(f"{path.name}:{number}: {raw.strip()}"):
                    if words:
                        player.line(words)
