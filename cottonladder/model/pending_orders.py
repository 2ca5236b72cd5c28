"""Orders that are collected until the present call of the controller ends."""

from __future__ import annotations

from collections.abc import Iterable

from .orders import Order


class PendingOrders:
    """Collected orders, in the sequence in which they are to be carried out."""

    def __init__(self) -> None:
        self._orders: list[Order] = []

    def add(self, order: Order) -> None:
        """Appends one order."""
        self._orders.append(order)

    def extend(self, orders: Iterable[Order]) -> None:
        """Appends several orders."""
        self._orders.extend(orders)

    def pop_all(self) -> list[Order]:
        """Returns all collected orders and starts an empty collection."""
        orders = self._orders
        self._orders = []
        return orders
