"""Typed inputs, orders, records and deployment parameters, and general algorithms without a tuned value."""
