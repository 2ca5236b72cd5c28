"""The type of JSON bodies that tests write: settings, endpoint lists, configuration files."""

from __future__ import annotations

from typing import Any

JsonObject = dict[str, Any]
