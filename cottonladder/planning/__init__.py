"""Pure planners beside the routing policy."""
