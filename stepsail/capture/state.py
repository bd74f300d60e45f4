"""Serializes the object graph of a router as plain data. Restoring it executes no code from the file.

Pickle is not used, because it calls functions that the file names, and binds a snapshot to the classes of
one build by their paths. Here, classes are looked up by their name alone, in a given module. So another
build of the router can continue from the same snapshot, as far as its objects have the same attributes.

A snapshot is a list of nodes, the first of which is the root. A node is a list: a letter of `NodeKind`,
followed by the fields of this kind. Values of `PLAIN_TYPES` are stored within a node; any other value is a
reference to a node.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum, StrEnum
from types import MethodType, ModuleType
from typing import Any

import msgspec

from stepsail.capture.snapshot_upgrade import REFERENCE, Node, SnapshotUpgrade
from stepsail.capture.stored_names import SNAPSHOT_SCHEMA

PLAIN_TYPES = frozenset((type(None), bool, int, float, str, bytes))
MAX_NODES = 5_000_000
MAX_TUPLE_DEPTH = 500  # maximum levels of tuples nested within tuples

# Stands for a tuple or bound method until the objects that it refers to have been created.
_PLACEHOLDER = object()


class NodeKind(StrEnum):
    """The kind of a node; the comment lists the fields that follow its letter."""

    EXTERNAL = "p"  # name of an object that is not in the snapshot; the reader supplies it
    ENUM = "e"  # class, value
    LIST = "l"  # items
    TUPLE = "t"  # items
    DICT = "d"  # keys, values
    DEQUE = "q"  # class, maximum length, items
    METHOD = "m"  # object, method name
    OBJECT = "o"  # class, attribute names, values


class SnapshotError(Exception):
    """A value cannot be serialized, or a snapshot does not fit the module."""


def serialize(root: Any, external_names: dict[int, str]) -> bytes:
    """Serialize all objects that can be reached from `root`.

    Args:
        root: The root of the object graph.
        external_names: Names of the objects that are not written but given to `deserialize`, by their id().

    Raises:
        SnapshotError: The graph has an object that cannot be serialized, or too many objects.
    """
    return msgspec.msgpack.encode(
        {"schema": SNAPSHOT_SCHEMA, "nodes": _GraphWriter(external_names).write(root)}
    )


def deserialize(data: bytes, module: ModuleType, external_objects: dict[str, Any]) -> Any:
    """Restore the object graph that `serialize` has written, and return its root.

    Args:
        data: The snapshot.
        module: The module in which classes are looked up by name.
        external_objects: The objects that the snapshot refers to by name.

    Raises:
        SnapshotError: The snapshot is malformed, or does not fit the module.
    """
    try:
        return _GraphReader(_current_nodes(msgspec.msgpack.decode(data)), module, external_objects).read()
    except (msgspec.DecodeError, IndexError, TypeError, ValueError, KeyError, AttributeError) as error:
        raise SnapshotError(f"{type(error).__name__}: {error}") from None


def _current_nodes(stored: Any) -> list[Node]:
    """Return the nodes of a snapshot in the current schema. Snapshots of schema 1 have no schema number."""
    if isinstance(stored, list):
        return SnapshotUpgrade(stored).run()
    if stored["schema"] != SNAPSHOT_SCHEMA:
        raise SnapshotError(f"snapshot of schema {stored['schema']}, expected at most {SNAPSHOT_SCHEMA}")
    nodes: list[Node] = stored["nodes"]
    return nodes


class _GraphWriter:
    """Converts objects to nodes, one node per object."""

    def __init__(self, external_names: dict[int, str]) -> None:
        self.external_names = external_names
        self.node_numbers: dict[int, int] = {}  # key: id() of the node's object
        self.nodes: list[Any] = []
        self.pending: list[Any] = []
        # Keeps all objects that have a node. A bound method is a new object at each access; if it were freed,
        # another object could get its id().
        self.kept_alive: list[Any] = []

    def write(self, root: Any) -> list[Node]:
        """Return the nodes of all objects that can be reached from `root`."""
        self._reference(root)
        while self.pending:
            value = self.pending.pop()
            self.nodes[self.node_numbers[id(value)]] = self._node(value)
            if len(self.nodes) > MAX_NODES:
                raise SnapshotError(f"more than {MAX_NODES} objects")
        return self.nodes

    def _node(self, value: Any) -> Node:
        kind = type(value)
        if id(value) in self.external_names:
            return [NodeKind.EXTERNAL.value, self.external_names[id(value)]]
        if isinstance(value, Enum):
            return [NodeKind.ENUM.value, kind.__name__, value.value]
        if isinstance(value, list | tuple | dict | deque):
            return self._container(value)
        if kind is MethodType:
            return [NodeKind.METHOD.value, self._reference(value.__self__), value.__func__.__name__]
        if hasattr(value, "__dict__") and not callable(value):
            attributes = value.__dict__
            values = self._references(attributes.values())
            return [NodeKind.OBJECT.value, kind.__name__, list(attributes), values]
        raise SnapshotError(f"cannot serialize an object of type {kind.__name__}")

    def _container(self, value: Any) -> Node:
        """Return the node of a container; subclasses of list, tuple and dict are not supported."""
        kind = type(value)
        if isinstance(value, deque):
            return [NodeKind.DEQUE.value, kind.__name__, value.maxlen, self._references(value)]
        if kind is dict:
            return [NodeKind.DICT.value, self._references(value), self._references(value.values())]
        if kind is list:
            return [NodeKind.LIST.value, self._references(value)]
        if kind is tuple:
            return [NodeKind.TUPLE.value, self._references(value)]
        raise SnapshotError(f"cannot serialize an object of type {kind.__name__}")

    def _reference(self, value: Any) -> Any:
        """Return a plain value itself, or else a reference to a node that is filled in later."""
        if type(value) in PLAIN_TYPES:
            return value
        number = self.node_numbers.get(id(value))
        if number is None:
            number = self.node_numbers[id(value)] = len(self.nodes)
            self.nodes.append(None)
            self.pending.append(value)
            self.kept_alive.append(value)
        return msgspec.msgpack.Ext(REFERENCE, number.to_bytes(4, "big"))

    def _references(self, values: Iterable[Any]) -> list[Any]:
        listed = list(values)
        return listed if set(map(type, listed)) <= PLAIN_TYPES else [self._reference(v) for v in listed]


class _GraphReader:
    """Converts nodes to objects.

    All objects are created empty before any is filled, because they may refer to each other.
    """

    def __init__(self, nodes: list[Node], module: ModuleType, external_objects: dict[str, Any]) -> None:
        self.nodes = nodes
        self.module = module
        self.external_objects = external_objects
        self.objects: list[Any] = []

    def read(self) -> Any:
        """Return the root, after restoring all objects."""
        self.objects = [self._create_empty(node) for node in self.nodes]
        for number in range(len(self.nodes)):
            self._create_immutable(number, 0)
        for node, value in zip(self.nodes, self.objects, strict=True):
            self._fill(node, value)
        return self.objects[0]

    def _create_empty(self, node: Node) -> Any:
        kind = NodeKind(node[0])
        if kind is NodeKind.EXTERNAL:
            return self.external_objects[node[1]]
        if kind is NodeKind.LIST:
            return []
        if kind is NodeKind.DICT:
            return {}
        if kind in (NodeKind.TUPLE, NodeKind.METHOD):
            return _PLACEHOLDER
        return self._create_instance(kind, node)

    def _create_instance(self, kind: NodeKind, node: Node) -> Any:
        """Return an enum member, an empty deque or an empty object, of a class of the module."""
        name = node[1]
        is_plain_deque = kind is NodeKind.DEQUE and name == "deque"
        cls: Any = deque if is_plain_deque else getattr(self.module, name, None)
        if not isinstance(cls, type):
            raise SnapshotError(f"the module has no class {name}")
        if kind is NodeKind.ENUM and issubclass(cls, Enum):
            return cls(node[2])
        if kind is NodeKind.DEQUE and issubclass(cls, deque):
            make: Callable[..., Any] = cls
            return make(maxlen=node[2])
        if kind is NodeKind.OBJECT and not issubclass(cls, Enum):
            return cls.__new__(cls)
        raise SnapshotError(f"class {name} does not fit its kind in the snapshot")

    def _create_immutable(self, number: int, depth: int) -> Any:
        """Create a tuple or a bound method, after the tuples and bound methods that it refers to."""
        if self.objects[number] is not _PLACEHOLDER:
            return self.objects[number]
        if depth > MAX_TUPLE_DEPTH:
            raise SnapshotError("tuples are nested too deeply")
        node = self.nodes[number]
        is_tuple = node[0] == NodeKind.TUPLE
        parts = [
            self._create_immutable(_node_number(part), depth + 1)
            if isinstance(part, msgspec.msgpack.Ext)
            else part
            for part in (node[1] if is_tuple else [node[1]])
        ]
        self.objects[number] = tuple(parts) if is_tuple else getattr(parts[0], node[2])
        return self.objects[number]

    def _fill(self, node: Node, value: Any) -> None:
        kind = node[0]
        if kind == NodeKind.LIST:
            value.extend(self._resolve(node[1]))
        elif kind == NodeKind.DEQUE:
            value.extend(self._resolve(node[3]))
        elif kind == NodeKind.DICT:
            value.update(zip(self._resolve(node[1]), self._resolve(node[2]), strict=True))
        elif kind == NodeKind.OBJECT:
            value.__dict__.update(zip(node[2], self._resolve(node[3]), strict=True))

    def _resolve(self, stored: list[Any]) -> list[Any]:
        return [
            self.objects[_node_number(value)] if isinstance(value, msgspec.msgpack.Ext) else value
            for value in stored
        ]


def _node_number(reference: msgspec.msgpack.Ext) -> int:
    return int.from_bytes(reference.data, "big")
