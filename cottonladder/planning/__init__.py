"""Planners beside the routing policy; all are pure: no clock, no I/O, no randomness of their own."""
