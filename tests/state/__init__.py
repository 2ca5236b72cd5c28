"""Tests of what a manager keeps between inputs."""
