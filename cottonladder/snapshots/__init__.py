"""Durable state across restarts; imported only where the configuration names a folder."""
