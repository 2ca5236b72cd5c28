"""Simulated workers, clients, advisors and discovery for the demo, the tests and the benchmarks."""
