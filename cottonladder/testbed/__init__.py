"""Stand-ins for what surrounds managers and forwarders: for the demo, the tests and the benchmarks."""
