"""`memory` and `tasks`: what a folder holds, and how a running process's background work stands."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable, Sequence
from typing import Any

import click

from ..snapshots.store import Generation, SnapshotError, SnapshotStore

ASK_WAIT = 3.0  # s for the control's answer
ANSWER_MOST = 4 << 20  # bytes of it


def table(rows: Sequence[Sequence[object]]) -> None:
    """Columns as wide as their widest word."""
    words = [[str(word) for word in row] for row in rows]
    widths = [max(len(row[n]) for row in words) for n in range(len(words[0]))]
    for row in words:
        click.echo("  ".join(word.ljust(width) for word, width in zip(row, widths, strict=True)).rstrip())


def _read_all(store: SnapshotStore) -> list[tuple[int, Generation | None, str]]:
    out: list[tuple[int, Generation | None, str]] = []
    for number in store.numbers():
        try:
            out.append((number, store.read(number), ""))
        except SnapshotError as exc:
            out.append((number, None, str(exc)))
    return out


def _said(call: Callable[[], int]) -> int:
    """A fault is one line and status 1."""
    try:
        return call()
    except (SnapshotError, OSError) as exc:
        click.echo(str(exc), err=True)
        return 1


def show(folder: str, as_json: bool) -> int:
    def call() -> int:
        store = SnapshotStore(folder)
        rows = [
            {
                "generation": number,
                "age_s": round(time.time() - found.written_at, 1) if found else None,
                "bytes": store.path_of(number).stat().st_size,
                "sections": sorted(found.sections) if found else [],
                "fault": why,
            }
            for number, found, why in _read_all(store)
        ]
        if as_json:
            click.echo(json.dumps(rows))
        else:
            heads = ("generation", "age_s", "bytes", "sections", "fault")
            table(
                [heads, *([",".join(v) if isinstance(v := r[h], list) else v for h in heads] for r in rows)]
            )
        return 0

    return _said(call)


def verify(folder: str) -> int:
    def call() -> int:
        found = _read_all(SnapshotStore(folder))
        for _, _, why in found:
            if why:
                click.echo(why, err=True)
        bad = sum(bool(why) for _, _, why in found)
        click.echo(f"{folder}: {len(found) - bad} hold, {bad} don't")
        return int(bad > 0)

    return _said(call)


def _newest(store: SnapshotStore, number: int | None) -> Generation:
    if number is not None:
        return store.read(number)
    found = next((g for _, g, _ in _read_all(store) if g is not None), None)
    if found is None:
        raise SnapshotError(f"{store.folder}: no generation that holds")
    return found


def export(folder: str, number: int | None) -> int:
    def call() -> int:
        found = _newest(SnapshotStore(folder), number)
        body = {"generation": found.number, "written": found.written_at, "sections": found.sections}
        click.echo(json.dumps(body, indent=2, sort_keys=True))
        return 0

    return _said(call)


def _owned(folder: str, change: Callable[[SnapshotStore], str]) -> int:
    """A change, with the folder's lock held."""

    def call() -> int:
        store = SnapshotStore(folder)
        store.open()
        try:
            click.echo(change(store))
        finally:
            store.close()
        return 0

    return _said(call)


def compact(folder: str) -> int:
    def change(store: SnapshotStore) -> str:
        found = store.read_newest()
        if found is None:
            raise SnapshotError(f"{folder}: no generation that holds")
        return f"{folder}: generation {found.number} stays, {store.remove_old_generations(1)} removed"

    return _owned(folder, change)


def without(value: Any, worker: str) -> Any:
    """A section without a worker's entries: rows that begin with its id, fields named by it, words that are
    it."""
    if isinstance(value, dict):
        return {key: without(v, worker) for key, v in value.items() if key != worker}
    if isinstance(value, list):
        return [
            without(v, worker)
            for v in value
            if v != worker and not (isinstance(v, list) and v and v[0] == worker)
        ]
    return value


def forget(folder: str, worker: str) -> int:
    def change(store: SnapshotStore) -> str:
        found = store.read_newest()
        if found is None:
            raise SnapshotError(f"{folder}: no generation that holds")
        kept = without(found.sections, worker)
        if kept == found.sections:
            raise SnapshotError(f"{folder}: nothing about {worker}")
        store.write(kept, found.written_at)  # as old as it was: forgetting makes nothing fresh
        return f"{folder}: written without {worker}"

    return _owned(folder, change)


def ask(path: str, question: str) -> Any:
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(ASK_WAIT)
        connection.connect(path)
        connection.sendall(question.encode() + b"\n")
        answer = b""
        while not answer.endswith(b"\n") and len(answer) < ANSWER_MOST:
            more = connection.recv(65_536)
            if not more:
                break
            answer += more
    return json.loads(answer)


def tasks(path: str, as_json: bool) -> int:
    def call() -> int:
        rows = ask(path, "tasks")
        if as_json:
            click.echo(json.dumps(rows))
        else:
            heads = list(rows[0]) if rows else ["task"]
            table([heads, *([row[head] for head in heads] for row in rows)])
        return 0

    try:
        return _said(call)
    except ValueError:
        click.echo(f"{path}: no answer that can be read", err=True)
        return 1
