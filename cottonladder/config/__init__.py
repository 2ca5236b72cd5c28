"""Reads, checks and types the files that a process is started with; imports no subsystem."""
