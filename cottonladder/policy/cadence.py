"""How often the policy acts.

At each tick the policy looks at what has arrived, updates the states of workers and sends what the channel
budget allows. At each solution it measures the workers and solves the flow. Ticks and solutions come at
fixed intervals, so that many inputs in a short time cost one pass over the fleet and not one pass each.
"""

TICK_INTERVAL_S = 0.25
SOLVE_INTERVAL_S = 2.0
