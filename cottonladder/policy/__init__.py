"""The routing policy: every decision and every tuned value.

`controller` takes the inputs and returns the orders.  The other modules each decide on one concern:

- which workers are in service: `worker_discovery`, `worker_states`, `outlier_ejection`, `slow_start`,
  `health_check_schedule`, `zone_reachability`, `worker_removal`, `worker_exclusion`;
- which reports are accepted, and what is measured: `report_plausibility`, `report_intake`, `overload_signal`,
  `latency_factor`, `capacity`, `warm_up`, `demand`, `gossip_exchange`;
- where requests go, and how many are admitted: `zone_flow`, `table_partition`, `load_shedding`;
- what is sent to proxies, and when: `cadence`, `proxy_binding`, `table_deltas`, `channel_budget`.

The policy does no I/O, reads no clock, and takes random numbers only from a generator with a given seed.
"""
