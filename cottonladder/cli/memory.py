"""`memory`: the snapshots that a process keeps in its folder."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import click

from ..snapshots.store import Generation, SnapshotError, SnapshotStore
from .errors import CommandError
from .options import AS_JSON
from .output import print_rows, print_table

FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))
COLUMNS = ("generation", "age_s", "bytes", "sections", "fault")


@dataclass(frozen=True, slots=True)
class StoredGeneration:
    """One generation in a folder: its content, or the fault for which it can't be read."""

    number: int
    content: Generation | None
    fault: str = ""


@click.group()
def memory() -> None:
    """Look at the snapshots that a process keeps across restarts."""


@memory.command()
@FOLDER
@AS_JSON
def show(folder: str, as_json: bool) -> None:
    """List the generations: which are whole, how old and how large they are."""
    with store_errors():
        store = SnapshotStore(folder)
        rows = [_row(store, generation) for generation in _read_all(store)]
    if as_json:
        print_rows(COLUMNS, rows, as_json)
        return
    for row in rows:
        row["sections"] = ",".join(row["sections"])
    print_table([COLUMNS, *([row[name] for name in COLUMNS] for row in rows)])


def _row(store: SnapshotStore, generation: StoredGeneration) -> dict[str, Any]:
    content = generation.content
    return {
        "generation": generation.number,
        "age_s": round(time.time() - content.written_at, 1) if content else None,
        "bytes": store.path_of(generation.number).stat().st_size,
        "sections": sorted(content.sections) if content else [],
        "fault": generation.fault,
    }


@memory.command()
@FOLDER
def verify(folder: str) -> None:
    """Read every generation; status 1 if one is not whole."""
    with store_errors():
        generations = _read_all(SnapshotStore(folder))
    faults = [generation.fault for generation in generations if generation.fault]
    for fault in faults:
        click.echo(fault, err=True)
    click.echo(f"{folder}: {len(generations) - len(faults)} hold, {len(faults)} don't")
    if faults:
        click.get_current_context().exit(CommandError.exit_code)


@memory.command()
@FOLDER
@click.option("--generation", "number", type=int, help="Its number; the newest whole one, if left out.")
def export(folder: str, number: int | None) -> None:
    """Print a generation's sections as JSON."""
    with store_errors():
        store = SnapshotStore(folder)
        generation = _newest_readable(store) if number is None else store.read(number)
    body = {
        "generation": generation.number,
        "written": generation.written_at,
        "sections": generation.sections,
    }
    click.echo(json.dumps(body, indent=2, sort_keys=True))


@memory.command()
@FOLDER
def compact(folder: str) -> None:
    """Remove all but the newest whole generation.  Not while a process owns the folder."""
    with store_errors(), _locked_store(folder) as store:
        generation = _newest(store)
        removed = store.remove_old_generations(1)
        click.echo(f"{folder}: generation {generation.number} stays, {removed} removed")


@memory.command()
@FOLDER
@click.option("--worker", "worker_id", required=True, help="The worker's id.")
def forget(folder: str, worker_id: str) -> None:
    """Write a generation without anything about a worker.  Not while a process owns the folder."""
    with store_errors(), _locked_store(folder) as store:
        generation = _newest(store)
        remaining = without_worker(generation.sections, worker_id)
        if remaining == generation.sections:
            raise SnapshotError(f"{folder}: nothing about {worker_id}")
        store.write(remaining, generation.written_at)  # as old as it was: forgetting makes nothing fresh
        click.echo(f"{folder}: written without {worker_id}")


def without_worker(value: Any, worker_id: str) -> Any:
    """A section without a worker's entries: rows that begin with its id, fields named by it, and words that
    are it."""
    if isinstance(value, dict):
        return {key: without_worker(item, worker_id) for key, item in value.items() if key != worker_id}
    if isinstance(value, list):
        return [without_worker(item, worker_id) for item in value if not _is_about(item, worker_id)]
    return value


def _is_about(item: Any, worker_id: str) -> bool:
    if isinstance(item, list):
        return bool(item) and item[0] == worker_id
    return bool(item == worker_id)


@contextmanager
def store_errors() -> Iterator[None]:
    """Turns a store's faults into one line and status 1."""
    try:
        yield
    except (SnapshotError, OSError) as exc:
        raise CommandError(str(exc)) from exc


@contextmanager
def _locked_store(folder: str) -> Iterator[SnapshotStore]:
    """A store whose folder no other process may own meanwhile."""
    store = SnapshotStore(folder)
    store.open()
    try:
        yield store
    finally:
        store.close()


def _read_all(store: SnapshotStore) -> list[StoredGeneration]:
    generations = []
    for number in store.numbers():
        try:
            generations.append(StoredGeneration(number, store.read(number)))
        except SnapshotError as exc:
            generations.append(StoredGeneration(number, None, str(exc)))
    return generations


def _newest_readable(store: SnapshotStore) -> Generation:
    """The newest generation that can be read; nothing in the folder is changed."""
    for generation in _read_all(store):
        if generation.content is not None:
            return generation.content
    raise SnapshotError(f"{store.folder}: no generation that holds")


def _newest(store: SnapshotStore) -> Generation:
    """The newest whole generation; those that are not whole are set aside."""
    generation = store.read_newest()
    if generation is None:
        raise SnapshotError(f"{store.folder}: no generation that holds")
    return generation
