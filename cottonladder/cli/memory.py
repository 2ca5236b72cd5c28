"""The `memory` commands, which inspect and edit the snapshots in the folder of a process."""

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
    """One generation in a folder: its content, or the reason why it is not valid."""

    number: int
    content: Generation | None
    fault: str = ""


@dataclass(frozen=True, slots=True)
class GenerationRow:
    """A row of `show`; the field names are the column headers and the keys of the JSON output."""

    generation: int
    age_s: float | None  # None if the generation is not valid
    bytes: int
    sections: list[str]
    fault: str

    def cells(self) -> list[object]:
        """Returns the cells of the table row, in the order of COLUMNS."""
        return [self.generation, self.age_s, self.bytes, ",".join(self.sections), self.fault]


COLUMNS = tuple(column.name for column in fields(GenerationRow))


@click.group()
def memory() -> None:
    """Inspect and edit the snapshots that a process keeps across restarts."""


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
    """Read every generation; exit with status 1 if one is not valid."""
    with _store_errors_as_command_errors():
        generations = _read_all(SnapshotStore(folder))
    faults = [generation.fault for generation in generations if generation.fault]
    for fault in faults:
        click.echo(fault, err=True)
    click.echo(f"{folder}: {len(generations) - len(faults)} valid, {len(faults)} invalid")
    if faults:
        click.get_current_context().exit(CommandError.exit_code)


@memory.command()
@FOLDER
@click.option(
    "--generation", "number", type=int, help="Number of the generation; by default the newest valid one."
)
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
    """Remove all but the newest valid generation; no process may be using the folder."""
    with _store_errors_as_command_errors(), _locked_store(folder) as store:
        generation = _newest_after_quarantine(store)
        removed = store.remove_old_generations(1)
        click.echo(f"{folder}: kept generation {generation.number}, removed {removed}")


@memory.command()
@FOLDER
@click.option("--worker", "worker_id", required=True, help="The worker's id.")
def forget(folder: str, worker_id: str) -> None:
    """Write a generation without the data of a worker; no process may be using the folder."""
    with _store_errors_as_command_errors(), _locked_store(folder) as store:
        generation = _newest_after_quarantine(store)
        remaining = without_worker(generation.sections, worker_id)
        if remaining == generation.sections:
            raise CommandError(f"{folder}: generation {generation.number} has no data of worker {worker_id}")
        # Keeps the time of writing, as the remaining entries are as old as before.
        store.write(remaining, generation.written_at)
        click.echo(f"{folder}: wrote a generation without worker {worker_id}")


def without_worker(value: Any, worker_id: str) -> Any:
    """Returns a copy of a section, or of a value in it, without the data of a worker.

    Removes list items that are the worker's id or a list that begins with it, and fields named by the id.
    """
    if isinstance(value, dict):
        return {key: without_worker(item, worker_id) for key, item in value.items() if key != worker_id}
    if isinstance(value, list):
        return [without_worker(item, worker_id) for item in value if not _is_worker_entry(item, worker_id)]
    return value


def _is_worker_entry(item: Any, worker_id: str) -> bool:
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
    """Opens a store, which locks its folder until the end of the block."""
    store = SnapshotStore(folder)
    store.open()
    try:
        yield store
    finally:
        store.close()


def _read_all(store: SnapshotStore) -> list[StoredGeneration]:
    """Returns all generations, the newest first."""
    generations = []
    for number in store.generation_numbers():
        try:
            generations.append(StoredGeneration(number, store.read(number)))
        except SnapshotError as exc:
            generations.append(StoredGeneration(number, None, str(exc)))
    return generations


def _newest_readable(store: SnapshotStore) -> Generation:
    """Returns the newest valid generation without changing the folder."""
    contents = (generation.content for generation in _read_all(store))
    newest = next((content for content in contents if content is not None), None)
    return _require_generation(store, newest)


def _newest_after_quarantine(store: SnapshotStore) -> Generation:
    """Returns the newest valid generation; newer ones that are not valid are quarantined."""
    return _require_generation(store, store.read_newest())


def _require_generation(store: SnapshotStore, generation: Generation | None) -> Generation:
    if generation is None:
        raise CommandError(f"{store.folder}: has no valid generation")
    return generation
