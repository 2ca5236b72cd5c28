"""Admission settings of the routing tables, and those that apply to all proxies."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .line_operations import AdmissionSetting, LineOperation, admission_line


class AdmissionSettings:
    """Admission settings by request class; where a table's and a global one apply, the lower one wins."""

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
        """Returns a line for each request class that has a setting for all proxies.

        `tables` has the same form as in `lines`.
        """
        return [line for class_index in self._global for line in self.lines(tables, [class_index])]

    def lines(self, tables: Sequence[int | None], class_indices: Iterable[int]) -> list[LineOperation]:
        """Returns lines with the effective admission of these request classes; equal settings share a line.

        `tables` has the table that the proxy reads for each request class, or None where it reads none of
        this manager's tables.
        """
        masks: dict[AdmissionSetting, int] = {}
        for class_index in class_indices:
            setting = self._effective_setting(tables[class_index], class_index)
            if setting is not None:
                masks[setting] = masks.get(setting, 0) | 1 << class_index
        return [admission_line(mask, setting) for setting, mask in masks.items()]

    def _effective_setting(self, table: int | None, class_index: int) -> AdmissionSetting | None:
        """Returns the lower of the table's and the global admission, with the table's retry policy."""
        global_setting = self._global.get(class_index)
        if table is None or table not in self._by_table:
            return global_setting
        table_setting = self._by_table[table].get(class_index)
        if table_setting is None:
            return global_setting
        if global_setting is None:
            return table_setting
        lower_admission = min(table_setting.admission, global_setting.admission)
        return AdmissionSetting(lower_admission, table_setting.retry_policy)
