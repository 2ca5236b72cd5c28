"""Tests of the state that a manager keeps between inputs."""
