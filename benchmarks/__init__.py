"""Benchmarks of bounded duration, seeded and with baselines, on loopback or simulated; not part of CI."""
