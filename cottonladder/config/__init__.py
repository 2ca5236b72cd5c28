"""Reads and validates the files that a process is started with; imports no subsystem."""
