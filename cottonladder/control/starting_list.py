"""The endpoint list that a manager uses until discovery has answered."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.inputs import EndpointList


@dataclass(frozen=True, slots=True)
class StartingList:
    """An endpoint list and the version that the discovery client continues from."""

    version: int
    endpoints: EndpointList
