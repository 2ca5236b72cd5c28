"""Tests of the manager process."""
