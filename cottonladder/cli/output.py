"""Printing of rows, as a table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

import click


def print_table(rows: Sequence[Sequence[object]]) -> None:
    """Prints rows in columns, each as wide as its widest cell; the first row is the header."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(cells[0]))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        click.echo("  ".join(padded).rstrip())


def print_rows(header: Sequence[str], rows: Sequence[Mapping[str, Any]], as_json: bool) -> None:
    """Prints rows of named cells: as JSON with all cells, or as a table with the columns of `header`."""
    if as_json:
        click.echo(json.dumps(rows))
        return
    print_table([header, *([row[name] for name in header] for row in rows)])
