"""The type of JSON objects in tests: settings, endpoint lists, configuration files."""

from __future__ import annotations

from typing import Any

JsonObject = dict[str, Any]
