"""The command line; each module has one command or one group of commands."""
