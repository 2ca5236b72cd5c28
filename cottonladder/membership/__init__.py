"""Leases and fencing of several managers, so far as a model checker explores them."""
