"""Durable state across restarts; imported only if the operators' file names a folder for it."""
