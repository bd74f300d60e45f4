"""The objects that a snapshot of the router doesn't contain but refers to by name.

The reader of a snapshot supplies these objects. Their names are part of the format.
"""

from __future__ import annotations

from typing import Any

from stepsail.decisions.interface import RouterSettings


def objects_by_name(settings: RouterSettings, host: object) -> dict[str, Any]:
    """Return the objects that a snapshot refers to by name, keyed by name, for reading a snapshot."""
    return {
        "charter": settings,
        "host": host,
        "products": settings.request_classes,
        **{f"product {request_class.index}": request_class for request_class in settings.request_classes},
    }


def names_by_id(settings: RouterSettings, host: object) -> dict[int, str]:
    """Return the names of the objects that a snapshot refers to, keyed by id(), for writing a snapshot."""
    return {id(external): name for name, external in objects_by_name(settings, host).items()}
