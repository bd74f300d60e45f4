"""Looks up the index of a tenant by its name."""

from __future__ import annotations

from collections.abc import Sequence


class TenantTable:
    """Maps the names of the configured tenants to the indexes that the router uses.

    Attributes:
        unknown_index: Index used for all tenants that are not configured.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self.indexes = {name.encode(): index for index, name in enumerate(names)}
        self.unknown_index = len(names)

    def index(self, name: bytes) -> int:
        """Return the index of the tenant with this name, or `unknown_index` if no tenant has this name."""
        return self.indexes.get(name, self.unknown_index)
