"""A snapshot file as bytes: a header and a body of named sections.

The header holds magic, format version, flags, time of writing, lengths, and a BLAKE2b digest over all else;
the body is the sections as MessagePack, compressed by zlib.  No I/O.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import msgspec

from .errors import SnapshotFormatError, SnapshotTooLargeError

MAGIC = b"CTNLMEM\0"
# Version 1 had no version of each section; see MIGRATIONS.
FORMAT_VERSION = 2
# Magic, format version, flags, ms of writing, raw and compressed length, digest.
HEADER = struct.Struct("!8sHHQII16s")
# Bytes of the digest.
DIGEST_SIZE = 16
# Bytes of the sections before compression: some hundred thousand workers and proxies.
MAX_UNCOMPRESSED_SIZE = 64 << 20
# Of zlib: the file is small, and the control loop's machine has one core.
COMPRESSION_LEVEL = 1

Sections = dict[str, Any]


class DecodedFile(NamedTuple):
    """When a file was written, in Unix seconds, and its sections in today's format."""

    written_at: float
    sections: Sections


def _migrate_from_1(sections: Sections) -> Sections:
    """Format 1 kept each section bare; since 2 it stands beside its own version."""
    return {name: {"v": 1, "data": data} for name, data in sections.items()}


# From a format version to the next.
MIGRATIONS: dict[int, Callable[[Sections], Sections]] = {1: _migrate_from_1}


def encode_file(
    sections: Mapping[str, Any], written_at: float, format_version: int = FORMAT_VERSION
) -> bytes:
    """The bytes of a file; raises SnapshotTooLargeError where the sections are over their bound."""
    raw = msgspec.msgpack.encode(dict(sections))
    if len(raw) > MAX_UNCOMPRESSED_SIZE:
        raise SnapshotTooLargeError(len(raw), MAX_UNCOMPRESSED_SIZE)
    compressed = zlib.compress(raw, COMPRESSION_LEVEL)
    written_ms = int(written_at * 1000)
    empty_digest = b"\0" * DIGEST_SIZE
    header = HEADER.pack(MAGIC, format_version, 0, written_ms, len(raw), len(compressed), empty_digest)
    return header[:-DIGEST_SIZE] + _digest(header + compressed) + compressed


def decode_file(data: bytes) -> DecodedFile:
    """Reads a file; raises SnapshotFormatError for anything that is not a whole one."""
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
    return DecodedFile(written_ms / 1000.0, sections)


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
    """The sections; no more than `raw_size` bytes are inflated, whatever the body says."""
    try:
        raw = zlib.decompressobj().decompress(compressed, raw_size + 1)
        sections = msgspec.msgpack.decode(raw, type=dict[str, Any])
    except (zlib.error, msgspec.DecodeError, msgspec.ValidationError, RecursionError) as exc:
        raise SnapshotFormatError(f"can't be read: {exc}") from None
    if len(raw) != raw_size:
        raise SnapshotFormatError("can't be read: another length than stated")
    return sections
