"""Tests of the forwarder, module by module and as a program."""
