"""The adapter of the simulator: one isolated controller for each simulated manager."""
