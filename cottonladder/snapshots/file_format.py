"""Encoding and decoding of the bytes of a snapshot file: a header and a body of named sections.

The header has a magic number, the format version, flags, the time of writing, the uncompressed and compressed
size of the body, and a BLAKE2b digest of the file with zeros in the place of the digest.  The body is the
sections as MessagePack, compressed by zlib.  The module does no I/O.
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
FORMAT_VERSION = 2  # in version 1 the sections had no versions of their own; see MIGRATIONS
# Magic, format version, flags, time of writing in ms, uncompressed and compressed size in bytes, digest.
HEADER = struct.Struct("!8sHHQII16s")
NO_FLAGS = 0  # value of the header's flags; no flag is defined
DIGEST_BYTES = 16
# Size of all sections together, enough for some hundred thousand workers and proxies.
MAX_UNCOMPRESSED_BYTES = 64 << 20
COMPRESSION_LEVEL = 1  # zlib's fastest: the file is small, and the machine may have only one core

Sections = dict[str, Any]


class DecodedFile(NamedTuple):
    """The content of a file: time of writing in Unix seconds, and sections migrated to the current format."""

    written_at: float
    sections: Sections


def _migrate_from_1(sections: Sections) -> Sections:
    """Adds the version of each section, which format 1 did not have."""
    return {name: {"v": 1, "data": data} for name, data in sections.items()}


# By format version: the migration to the next version.
MIGRATIONS: dict[int, Callable[[Sections], Sections]] = {1: _migrate_from_1}


def encode_file(
    sections: Mapping[str, Any], written_at: float, format_version: int = FORMAT_VERSION
) -> bytes:
    """Encodes a file; `written_at` is in Unix seconds.

    Raises SnapshotTooLargeError if the sections are larger than `MAX_UNCOMPRESSED_BYTES`.
    """
    raw = msgspec.msgpack.encode(dict(sections))
    if len(raw) > MAX_UNCOMPRESSED_BYTES:
        raise SnapshotTooLargeError(len(raw), MAX_UNCOMPRESSED_BYTES)
    compressed = zlib.compress(raw, COMPRESSION_LEVEL)
    written_ms = int(written_at * MS_PER_S)
    empty_digest = b"\0" * DIGEST_BYTES
    header = HEADER.pack(MAGIC, format_version, NO_FLAGS, written_ms, len(raw), len(compressed), empty_digest)
    return header[:-DIGEST_BYTES] + _digest(header + compressed) + compressed


def decode_file(data: bytes) -> DecodedFile:
    """Decodes a file; raises SnapshotFormatError unless it is complete, unchanged and of a known format."""
    if len(data) < HEADER.size:
        raise SnapshotFormatError(f"truncated header: expected {HEADER.size} bytes, got {len(data)}")
    magic, version, _, written_ms, raw_size, compressed_size, digest = HEADER.unpack_from(data)
    _check_version(magic, version)
    if len(data) != HEADER.size + compressed_size:
        raise SnapshotFormatError(f"expected {HEADER.size + compressed_size} bytes, got {len(data)}")
    if raw_size > MAX_UNCOMPRESSED_BYTES:
        raise SnapshotFormatError(
            f"uncompressed size: expected at most {MAX_UNCOMPRESSED_BYTES} bytes, got {raw_size}"
        )
    without_digest = data[: HEADER.size - DIGEST_BYTES] + b"\0" * DIGEST_BYTES + data[HEADER.size :]
    actual_digest = _digest(without_digest)
    if actual_digest != digest:
        raise SnapshotFormatError(f"BLAKE2b digest: expected {digest.hex()}, got {actual_digest.hex()}")
    sections = _decode_body(data[HEADER.size :], raw_size)
    while version < FORMAT_VERSION:
        sections = MIGRATIONS[version](sections)
        version += 1
    return DecodedFile(written_ms / MS_PER_S, sections)


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def _check_version(magic: bytes, version: int) -> None:
    if magic != MAGIC:
        raise SnapshotFormatError(f"not a snapshot file: expected magic number {MAGIC!r}, got {magic!r}")
    if version > FORMAT_VERSION:
        raise SnapshotFormatError(
            f"expected at most format version {FORMAT_VERSION}, got version {version} of a newer program"
        )
    if version not in MIGRATIONS and version != FORMAT_VERSION:
        raise SnapshotFormatError(f"unknown format version: expected 1 to {FORMAT_VERSION}, got {version}")


def _decode_body(compressed: bytes, raw_size: int) -> Sections:
    """Decompresses and decodes the sections; decompresses at most one byte more than `raw_size`."""
    try:
        raw = zlib.decompressobj().decompress(compressed, raw_size + 1)
        sections = msgspec.msgpack.decode(raw, type=dict[str, Any])
    except (zlib.error, msgspec.DecodeError, msgspec.ValidationError, RecursionError) as exc:
        raise SnapshotFormatError(f"body is not MessagePack compressed by zlib: {exc}") from None
    if len(raw) != raw_size:
        actual = "more" if len(raw) > raw_size else f"{len(raw)}"
        raise SnapshotFormatError(f"uncompressed body: expected {raw_size} bytes, got {actual}")
    return sections
