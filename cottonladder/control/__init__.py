"""The manager process: its control loop, startup and shutdown, reload, signals and extensions."""
