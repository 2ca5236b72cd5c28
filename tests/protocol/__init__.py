"""Tests of the protocols that a manager speaks."""
