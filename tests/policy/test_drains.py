"""Drains first: whoever is joined hears of workers that leave within the settings' grace, or is bound to a
table without them, however full the channel is and wherever its tables come from."""

from __future__ import annotations

import unittest
from dataclasses import replace

from cottonladder.model.inputs import EndpointList, EndpointState, ListUpdateKind
from cottonladder.model.parameters import DeploymentParameters
from cottonladder.testbed.simulated_fleet import SimulatedFleet, fleet_parameters

IDS = [f"s-{n:04x}" for n in range(200)]
LEAVE = range(0, 200, 2)


class Drains(unittest.TestCase):
    def fleet(self, terms: DeploymentParameters, answers: float = 1.0) -> SimulatedFleet:
        fleet = SimulatedFleet(terms, acknowledged_share=answers)
        listed = tuple(fleet.endpoint(be, n // 2 % 4) for n, be in enumerate(IDS))
        fleet.step("start", [EndpointList(ListUpdateKind.CACHED, listed)])
        return fleet

    def tell(self, fleet: SimulatedFleet, some: range, mode: EndpointState = EndpointState.DRAINING) -> None:
        entries = tuple(fleet.endpoint(IDS[n], n // 2 % 4, mode) for n in some)
        fleet.step("list", [EndpointList(ListUpdateKind.DELTA, entries)])

    def from_elsewhere(self, fleet: SimulatedFleet, proxies: range) -> None:
        """They come with another manager's tables: five workers each, of which some leave or have left."""
        for p in proxies:
            fleet.join([p])
            fleet.proxies[p].weights = {IDS[(p * 7 + n * 13) % 200].encode(): 1.0 for n in range(5)}

    def sending(self, fleet: SimulatedFleet, left: range) -> list[int]:
        ids = {IDS[n].encode() for n in left}
        return [p for p, held in fleet.proxies.items() if (held.weights.keys() - held.excluded) & ids]

    def test_all_come_while_half_of_the_workers_leave_in_steps(self) -> None:
        """herd+mass: 1,456 proxies of four killed managers came to one; each step's words to all of them went
        before the binds, and 1,792 sends reached workers told of 13.4 s before."""
        fleet = self.fleet(fleet_parameters())
        fleet.join(range(300))
        fleet.run(5)
        self.from_elsewhere(fleet, range(300, 1600))
        told = []
        for step in range(4):
            steps = range(50 * step, 50 * step + 50, 2)
            self.tell(fleet, steps)
            told.append((fleet.now, steps))
            fleet.run(2.0)
        for at, steps in told:
            fleet.run(max(0.0, at + fleet.parameters.drain_grace_s - 1.0 - fleet.now))
            self.assertEqual(self.sending(fleet, steps), [])
        self.assertLess(fleet.longest_queue, fleet.parameters.max_queued_lines)
        self.assertEqual(fleet.budget_faults, [])

    def test_a_channel_at_half_its_pace_and_answers_lost(self) -> None:
        """The times of the rules grow by as much as the channel is slower."""
        fleet = self.fleet(fleet_parameters(), answers=0.6)
        fleet.channel_speed = 0.5
        self.from_elsewhere(fleet, range(700))
        self.tell(fleet, LEAVE)
        fleet.run(2.0 * fleet.parameters.drain_grace_s)
        self.assertEqual(self.sending(fleet, LEAVE), [])
        self.assertLess(fleet.longest_queue, fleet.parameters.max_queued_lines)

    def test_what_comes_along_delays_nobody_s_leaving(self) -> None:
        """cairo-dispatch-later big-2, a release while channels send slowly: the other changes of tables that
        who left stood in filled the channel, and drains behind them were told 15.7 s late."""
        fleet = self.fleet(fleet_parameters())
        fleet.join(range(400))
        fleet.run(6)
        fleet.channel_speed = 0.25
        for step in range(0, 200, 50):
            new = (fleet.endpoint(f"n-{n + step}", n % 4, started=fleet.now - 1.0) for n in range(25))
            old = (
                fleet.endpoint(IDS[n], n // 2 % 4, EndpointState.DRAINING) for n in range(step, step + 50, 2)
            )
            fleet.step("list", [EndpointList(ListUpdateKind.DELTA, (*old, *new))])
            fleet.run(10.0)
            self.assertEqual(self.sending(fleet, range(step, step + 50, 2)), [])

    def test_a_later_life_meets_its_former_one_s_lines(self) -> None:
        """What an earlier life left in the channel counts on."""
        fleet = self.fleet(fleet_parameters())
        fleet.join(range(900))
        fleet.run(3)
        self.tell(fleet, LEAVE)
        later = self.fleet(fleet.parameters)
        later.channel = fleet.channel
        self.assertGreater(later.queued_lines(), 1000)
        self.tell(later, LEAVE)
        self.from_elsewhere(later, range(900))
        later.run(later.parameters.drain_grace_s - 1.0)
        self.assertEqual(self.sending(later, LEAVE), [])
        self.assertLess(later.longest_queue, later.parameters.max_queued_lines)

    def test_a_proxy_at_its_message_limit_holds_nobody_back(self) -> None:
        """Where messages are limited too: those of other tables are told, it hears after a pause."""
        terms = replace(fleet_parameters(), max_messages=6, message_window_s=10.0, drain_grace_s=4.0)
        fleet = self.fleet(terms)
        fleet.join(range(40))
        fleet.run(2)
        table = fleet.controller.state.proxies.by_number[0].table
        assert table is not None
        fleet.controller.channel_budget.written_at[0] = [fleet.now - 0.1 * n for n in range(6)]
        self.tell(fleet, LEAVE)
        fleet.run(3)
        self.assertLessEqual(set(self.sending(fleet, LEAVE)), set(table.readers))
        fleet.run(12)
        self.assertEqual(self.sending(fleet, LEAVE), [])

    def test_cold_workers_do_not_inherit_what_drains(self) -> None:
        """join+vast: lines of who left went at once and those that were to take their part seconds later, so
        a cold worker got twice its part for 3 s and fell over (sent 5.2 times what it could then do)."""
        fleet = self.fleet(fleet_parameters(proxies=640))
        fleet.join(range(128))
        fleet.run(6)
        new = tuple(fleet.endpoint(f"n-{n:04x}", n % 4, started=fleet.now - 1.0) for n in range(60))
        fleet.step("list", [EndpointList(ListUpdateKind.DELTA, new)])
        fleet.run(4)
        self.tell(fleet, range(120))
        fleet.run(1.5)
        load, ladder = fleet.worker_load(), fleet.controller
        for n in range(60):
            be = fleet.workers.register(f"n-{n:04x}", "127.0.0.1:1", 0.0)
            part = ladder.state.workers.by_index[be].planned_rate * ladder.capacity.own_share[n % 4]
            self.assertLess(load.get(b"n-%04x" % n, 0.0), 1.5 * part)

    def test_where_nobody_is_left_all_are_shut_out(self) -> None:
        """No table can be laid: who left is shut out at each proxy, bound or not, until one is ready."""
        fleet = self.fleet(fleet_parameters(proxies=60))
        fleet.join(range(20))
        fleet.run(2)
        self.from_elsewhere(fleet, range(20, 30))
        self.tell(fleet, range(200), EndpointState.GONE)
        fleet.run(4)
        self.assertEqual(self.sending(fleet, range(200)), [])
        back = tuple(fleet.endpoint(IDS[n], n // 2 % 4, started=fleet.now - 0.5) for n in range(0, 200, 3))
        fleet.step("list", [EndpointList(ListUpdateKind.DELTA, back)])
        fleet.run(6)
        self.assertTrue(all(held.weights.keys() - held.excluded for held in fleet.proxies.values()))
        self.assertEqual(self.sending(fleet, range(1, 200, 3)), [])


if __name__ == "__main__":
    unittest.main()
