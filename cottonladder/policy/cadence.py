"""Tick and solve intervals of the policy.

At each tick the policy updates the states of the workers and sends what the channel budget allows. Once per
solve interval it estimates the capacities and solves the flow. After a change of a worker's state, the start
of an overload or the connection of a proxy, it also does so at the next tick, endpoint list, or
acknowledgement that a table has waited for. Workers are measured once per solve interval, however often the
flow is solved. A burst of inputs thus costs one pass over the fleet instead of one pass per input.
"""

TICK_INTERVAL_S = 0.25
SOLVE_INTERVAL_S = 2.0
