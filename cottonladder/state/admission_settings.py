"""The admission that is ordered for each routing table, and for all proxies at once."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .line_operations import AdmissionSetting, LineOperation, admission_line


class AdmissionSettings:
    """The settings by request class; the lower admission is in force where two of them apply."""

    def __init__(self) -> None:
        self._by_table: dict[int, dict[int, AdmissionSetting]] = {}
        self._global: dict[int, AdmissionSetting] = {}

    def set_global(self, class_indices: Iterable[int], setting: AdmissionSetting) -> None:
        """Sets the admission of these request classes for all proxies."""
        self._global.update(dict.fromkeys(class_indices, setting))

    def set_for_table(self, table: int, class_indices: Iterable[int], setting: AdmissionSetting) -> None:
        """Sets the admission of these request classes for the proxies that read a table."""
        self._by_table.setdefault(table, {}).update(dict.fromkeys(class_indices, setting))

    def clear_table(self, table: int) -> None:
        """Removes the settings of a table."""
        self._by_table.pop(table, None)

    def global_lines(self, tables: Sequence[int | None]) -> list[LineOperation]:
        """A line for each request class that has a setting for all proxies.

        `tables` is as in `lines`.
        """
        return [line for class_index in self._global for line in self.lines(tables, [class_index])]

    def lines(self, tables: Sequence[int | None], class_indices: Iterable[int]) -> list[LineOperation]:
        """Lines for the admission in force for these request classes; equal settings share a line.

        `tables` has the table that the proxy reads for each request class, None for another manager's.
        """
        masks: dict[AdmissionSetting, int] = {}
        for class_index in class_indices:
            setting = self._in_force(tables[class_index], class_index)
            if setting is not None:
                masks[setting] = masks.get(setting, 0) | 1 << class_index
        return [admission_line(mask, setting) for setting, mask in masks.items()]

    def _in_force(self, table: int | None, class_index: int) -> AdmissionSetting | None:
        """The lower of the table's admission and that for all proxies, with the table's retry policy."""
        everywhere = self._global.get(class_index)
        if table is None or table not in self._by_table:
            return everywhere
        own = self._by_table[table].get(class_index)
        if own is None:
            return everywhere
        if everywhere is None:
            return own
        return AdmissionSetting(min(own.admission, everywhere.admission), own.retry_policy)
