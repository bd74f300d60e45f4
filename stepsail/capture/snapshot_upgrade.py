"""Upgrades the object graph of a snapshot that has the names and layout of an earlier build.

Works on the stored nodes of the graph (see `stepsail/capture/state.py`), before objects are created from
them. The tables in `stepsail/capture/stored_names.py` list the changes.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from stepsail.capture.stored_names import (
    ADDED_ATTRIBUTES,
    DERIVED_ATTRIBUTES,
    DROPPED_ATTRIBUTES,
    MOVED_ATTRIBUTES,
    RENAMED_ATTRIBUTES,
    RENAMED_CLASSES,
    RENAMED_METHODS,
    TUPLES_TO_OBJECTS,
)

REFERENCE = 1  # msgpack extension type of a reference, whose data is the number of a node
Node = list[Any]

_MISSING = object()


class SnapshotUpgrade:
    """Upgrades one graph to the current layout."""

    def __init__(self, nodes: list[Node]) -> None:
        self.nodes = nodes
        self.attributes: dict[int, dict[str, Any]] = {
            number: dict(zip(node[2], node[3], strict=True))
            for number, node in enumerate(nodes)
            if node[0] == "o"
        }

    def run(self) -> list[Node]:
        """Return the graph in the current layout. It shares nodes with the given graph, which is changed."""
        self._rename_classes()
        for number in list(self.attributes):
            self._tuples_to_objects(number)
        for number in list(self.attributes):
            self._move_attributes(number)
        for number in list(self.attributes):
            self._derive_attributes(number)
        for number in list(self.attributes):
            self._update_attributes(number)
        return self.nodes

    def _rename_classes(self) -> None:
        for node in self.nodes:
            if node[0] == "m":
                owner = self._class_of(node[1])
                node[2] = RENAMED_METHODS.get(owner, {}).get(node[2], node[2])
        for node in self.nodes:
            if node[0] in ("o", "e", "q"):
                node[1] = RENAMED_CLASSES.get(node[1], node[1])

    def _class_of(self, reference: Any) -> str:
        node = self.nodes[_node_number(reference)]
        return str(node[1]) if node[0] == "o" else ""

    def _tuples_to_objects(self, number: int) -> None:
        for attribute, (name, fields) in TUPLES_TO_OBJECTS.get(self.nodes[number][1], {}).items():
            stored = self.attributes[number].get(attribute, _MISSING)
            if stored is _MISSING:
                continue
            for item in self.nodes[_node_number(stored)][1]:
                node = self.nodes[_node_number(item)]
                self.attributes[_node_number(item)] = dict(zip(fields, node[1], strict=True))
                node[:] = ["o", name, [], []]

    def _move_attributes(self, number: int) -> None:
        """Create the objects to which attributes of one object have moved, and add references to them."""
        own_attributes = self.attributes[number]
        moved: set[str] = set()
        for part, (name, paths) in MOVED_ATTRIBUTES.get(self.nodes[number][1], {}).items():
            reference = self._add_node(["o", name, [], []])
            attributes = self.attributes[_node_number(reference)] = {}
            own_attributes[part] = reference
            for attribute, path in paths.items():
                value = self._value_at(number, path)
                if value is not _MISSING:
                    attributes[attribute] = value
                if attribute != "router":
                    moved.add(path)
        for path in moved:
            holder, _, attribute = path.rpartition(".")
            value = self._value_at(number, holder)
            if value is not _MISSING:
                self.attributes[_node_number(value)].pop(attribute, None)

    def _derive_attributes(self, number: int) -> None:
        """Add an object's direct references to objects that earlier builds reached through other objects."""
        for attribute, path in DERIVED_ATTRIBUTES.get(self.nodes[number][1], {}).items():
            value = self._value_at(number, path)
            if value is not _MISSING:
                self.attributes[number][attribute] = value

    def _update_attributes(self, number: int) -> None:
        """Rename attributes, remove those that no longer exist, and add those that the snapshot lacks."""
        name = self.nodes[number][1]
        renamed = RENAMED_ATTRIBUTES.get(name, {})
        dropped = DROPPED_ATTRIBUTES.get(name, ())
        stored = self.attributes[number]
        attributes = {renamed.get(old, old): value for old, value in stored.items() if old not in dropped}
        for attribute, value in ADDED_ATTRIBUTES.get(name, {}).items():
            if attribute not in attributes:
                attributes[attribute] = self._encoded_value(value)
        self.nodes[number] = ["o", name, list(attributes), list(attributes.values())]

    def _encoded_value(self, value: Any) -> Any:
        """Return the stored form of a default value: an enum member or empty container becomes a node."""
        if isinstance(value, Enum):
            return self._add_node(["e", type(value).__name__, value.value])
        if isinstance(value, dict):
            return self._add_node(["d", [], []])
        if isinstance(value, list):
            return self._add_node(["l", []])
        if isinstance(value, tuple):
            return self._add_node(["t", []])
        return value

    def _value_at(self, number: int, path: str) -> Any:
        """Return the value at a path of stored attribute names; an empty path is the object itself."""
        value: Any = _reference(number)
        for attribute in path.split(".") if path else ():
            if not isinstance(value, msgspec.msgpack.Ext):
                return _MISSING
            value = self.attributes.get(_node_number(value), {}).get(attribute, _MISSING)
        return value

    def _add_node(self, node: Node) -> msgspec.msgpack.Ext:
        self.nodes.append(node)
        return _reference(len(self.nodes) - 1)


def _node_number(reference: Any) -> int:
    return int.from_bytes(reference.data, "big")


def _reference(number: int) -> msgspec.msgpack.Ext:
    return msgspec.msgpack.Ext(REFERENCE, number.to_bytes(4, "big"))
