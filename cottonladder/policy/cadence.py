"""How often the policy acts.

At each tick the policy updates the states of workers and sends what the channel budget allows. A solution
estimates capacities and solves the flow: once an interval, and after a change of a worker's state, the
start of an overload or a new proxy also at the next tick, endpoint list or acknowledgement that a table has
waited for. Workers are measured once an interval, however often the flow is solved. Many inputs in a short
time thus cost one pass over the fleet and not one pass each.
"""

TICK_INTERVAL_S = 0.25
SOLVE_INTERVAL_S = 2.0
