"""Encodes and decodes the bytes of a snapshot file: a header and a body of named sections.

The header has a magic number, format version, flags, the time of writing, the lengths of the body, and a
BLAKE2b digest of everything else.  The body is the sections as MessagePack, compressed by zlib.  No I/O.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from ..config.fields import MS_PER_S
from .errors import SnapshotFormatError, SnapshotTooLargeError

MAGIC = b"CTNLMEM\0"
FORMAT_VERSION = 2  # version 1 had no version of each section; see MIGRATIONS
# Magic, format version, flags, time of writing in ms, uncompressed and compressed size in bytes, digest.
HEADER = struct.Struct("!8sHHQII16s")
NO_FLAGS = 0  # in the header: no flag is defined
DIGEST_SIZE = 16  # bytes
MAX_UNCOMPRESSED_SIZE = 64 << 20  # bytes of all sections: some hundred thousand workers and proxies
COMPRESSION_LEVEL = 1  # of zlib, the fastest: the file is small, and the machine may have one core

Sections = dict[str, Any]


class DecodedFile(NamedTuple):
    """The time of writing, in Unix seconds, and the sections, migrated to the present format."""

    written_at: float
    sections: Sections


def _migrate_from_1(sections: Sections) -> Sections:
    """Adds the version of each section, which format 1 did not have."""
    return {name: {"v": 1, "data": data} for name, data in sections.items()}


# From each earlier format version to the next one.
MIGRATIONS: dict[int, Callable[[Sections], Sections]] = {1: _migrate_from_1}


def encode_file(
    sections: Mapping[str, Any], written_at: float, format_version: int = FORMAT_VERSION
) -> bytes:
    """The bytes of a file; raises SnapshotTooLargeError for sections over `MAX_UNCOMPRESSED_SIZE`.

    `written_at` is in Unix seconds.
    """
    raw = msgspec.msgpack.encode(dict(sections))
    if len(raw) > MAX_UNCOMPRESSED_SIZE:
        raise SnapshotTooLargeError(len(raw), MAX_UNCOMPRESSED_SIZE)
    compressed = zlib.compress(raw, COMPRESSION_LEVEL)
    written_ms = int(written_at * MS_PER_S)
    empty_digest = b"\0" * DIGEST_SIZE
    header = HEADER.pack(MAGIC, format_version, NO_FLAGS, written_ms, len(raw), len(compressed), empty_digest)
    return header[:-DIGEST_SIZE] + _digest(header + compressed) + compressed


def decode_file(data: bytes) -> DecodedFile:
    """Decodes a file; raises SnapshotFormatError unless it is complete, unchanged and of a known format."""
    if len(data) < HEADER.size:
        raise SnapshotFormatError(f"cut short: {len(data)} bytes")
    magic, version, _, written_ms, raw_size, compressed_size, digest = HEADER.unpack_from(data)
    _check_version(magic, version)
    if len(data) != HEADER.size + compressed_size or raw_size > MAX_UNCOMPRESSED_SIZE:
        raise SnapshotFormatError(f"{len(data)} bytes where {HEADER.size + compressed_size} are expected")
    without_digest = data[: HEADER.size - DIGEST_SIZE] + b"\0" * DIGEST_SIZE + data[HEADER.size :]
    if _digest(without_digest) != digest:
        raise SnapshotFormatError("bad checksum")
    sections = _decode_body(data[HEADER.size :], raw_size)
    while version < FORMAT_VERSION:
        sections = MIGRATIONS[version](sections)
        version += 1
    return DecodedFile(written_ms / MS_PER_S, sections)


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_SIZE).digest()


def _check_version(magic: bytes, version: int) -> None:
    if magic != MAGIC:
        raise SnapshotFormatError("not a memory file")
    if version > FORMAT_VERSION:
        raise SnapshotFormatError(f"of a newer format, {version}")
    if version not in MIGRATIONS and version != FORMAT_VERSION:
        raise SnapshotFormatError(f"of an unknown format, {version}")


def _decode_body(compressed: bytes, raw_size: int) -> Sections:
    """Decompresses and decodes the sections; no more than `raw_size` bytes and one are decompressed."""
    try:
        raw = zlib.decompressobj().decompress(compressed, raw_size + 1)
        sections = msgspec.msgpack.decode(raw, type=dict[str, Any])
    except (zlib.error, msgspec.DecodeError, msgspec.ValidationError, RecursionError) as exc:
        raise SnapshotFormatError(f"can't be read: {exc}") from None
    if len(raw) != raw_size:
        raise SnapshotFormatError("can't be read: another length than stated")
    return sections
