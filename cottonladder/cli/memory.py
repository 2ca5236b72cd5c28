"""`memory`: inspects and edits the snapshots that a process keeps in its folder."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, fields
from typing import Any

import click

from ..snapshots.errors import SnapshotError
from ..snapshots.store import Generation, SnapshotStore
from .errors import CommandError
from .options import json_option
from .output import print_table

FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@dataclass(frozen=True, slots=True)
class StoredGeneration:
    """One generation in a folder: its content, or the fault that makes it unreadable."""

    number: int
    content: Generation | None
    fault: str = ""


@dataclass(frozen=True, slots=True)
class GenerationRow:
    """What `show` prints of a generation; the field names are the column headers and the keys of the JSON."""

    generation: int
    age_s: float | None  # None for one that can't be read
    bytes: int
    sections: list[str]
    fault: str

    def cells(self) -> list[object]:
        """The cells of the table, in the order of COLUMNS."""
        return [self.generation, self.age_s, self.bytes, ",".join(self.sections), self.fault]


COLUMNS = tuple(column.name for column in fields(GenerationRow))


@click.group()
def memory() -> None:
    """Inspect the snapshots that a process keeps across restarts."""


@memory.command()
@FOLDER
@json_option
def show(folder: str, as_json: bool) -> None:
    """List the generations: which are valid, how old and how large they are."""
    with _store_errors_as_command_errors():
        store = SnapshotStore(folder)
        rows = [_row(store, generation) for generation in _read_all(store)]
    if as_json:
        click.echo(json.dumps([asdict(row) for row in rows]))
        return
    print_table([COLUMNS, *(row.cells() for row in rows)])


def _row(store: SnapshotStore, generation: StoredGeneration) -> GenerationRow:
    size_bytes = store.generation_path(generation.number).stat().st_size
    content = generation.content
    if content is None:
        return GenerationRow(generation.number, None, size_bytes, [], generation.fault)
    age_s = round(time.time() - content.written_at, 1)
    return GenerationRow(generation.number, age_s, size_bytes, sorted(content.sections), generation.fault)


@memory.command()
@FOLDER
def verify(folder: str) -> None:
    """Read every generation; status 1 if one is not valid."""
    with _store_errors_as_command_errors():
        generations = _read_all(SnapshotStore(folder))
    faults = [generation.fault for generation in generations if generation.fault]
    for fault in faults:
        click.echo(fault, err=True)
    click.echo(f"{folder}: {len(generations) - len(faults)} hold, {len(faults)} don't")
    if faults:
        click.get_current_context().exit(CommandError.exit_code)


@memory.command()
@FOLDER
@click.option("--generation", "number", type=int, help="Its number; the newest valid one, if left out.")
def export(folder: str, number: int | None) -> None:
    """Print a generation's sections as JSON."""
    with _store_errors_as_command_errors():
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
    """Remove all but the newest valid generation.  Not while a process owns the folder."""
    with _store_errors_as_command_errors(), _locked_store(folder) as store:
        generation = _newest_after_quarantine(store)
        removed = store.remove_old_generations(1)
        click.echo(f"{folder}: generation {generation.number} stays, {removed} removed")


@memory.command()
@FOLDER
@click.option("--worker", "worker_id", required=True, help="The worker's id.")
def forget(folder: str, worker_id: str) -> None:
    """Write a generation without anything about a worker.  Not while a process owns the folder."""
    with _store_errors_as_command_errors(), _locked_store(folder) as store:
        generation = _newest_after_quarantine(store)
        remaining = without_worker(generation.sections, worker_id)
        if remaining == generation.sections:
            raise CommandError(f"{folder}: nothing about {worker_id}")
        # The time of writing stays, as the remaining entries are no more recent than before.
        store.write(remaining, generation.written_at)
        click.echo(f"{folder}: written without {worker_id}")


def without_worker(value: Any, worker_id: str) -> Any:
    """A copy of a section, or of a value in it, without what concerns a worker.

    Left out are lists that begin with its id, fields named by the id, and list items that equal it.
    """
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
def _store_errors_as_command_errors() -> Iterator[None]:
    """Raises CommandError in place of errors of the store."""
    try:
        yield
    except (SnapshotError, OSError) as exc:
        raise CommandError(str(exc)) from exc


@contextmanager
def _locked_store(folder: str) -> Iterator[SnapshotStore]:
    """A store that holds the lock of its folder until the end of the block."""
    store = SnapshotStore(folder)
    store.open()
    try:
        yield store
    finally:
        store.close()


def _read_all(store: SnapshotStore) -> list[StoredGeneration]:
    """All generations, the newest first."""
    generations = []
    for number in store.generation_numbers():
        try:
            generations.append(StoredGeneration(number, store.read(number)))
        except SnapshotError as exc:
            generations.append(StoredGeneration(number, None, str(exc)))
    return generations


def _newest_readable(store: SnapshotStore) -> Generation:
    """The newest valid generation; the folder is not changed."""
    contents = (generation.content for generation in _read_all(store))
    newest = next((content for content in contents if content is not None), None)
    return _require_generation(store, newest)


def _newest_after_quarantine(store: SnapshotStore) -> Generation:
    """The newest valid generation; newer ones that are not valid are quarantined."""
    return _require_generation(store, store.read_newest())


def _require_generation(store: SnapshotStore, generation: Generation | None) -> Generation:
    if generation is None:
        raise CommandError(f"{store.folder}: no generation that holds")
    return generation
