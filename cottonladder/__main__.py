"""`python -m cottonladder`: the command line of one real manager."""

from .lifecycle.cli import main

if __name__ == "__main__":
    main(prog_name="cottonladder")
