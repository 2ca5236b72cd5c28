"""Reading and validation of the files that a process is started with; imports no subsystem."""
