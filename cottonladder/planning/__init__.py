"""Planners that work alongside the routing policy; they have no clock, no I/O and no random numbers."""
