"""Loads another build of the `decisions` package, from a folder or a single file, to replay captures with.

The other build uses the running program's `stepsail.decisions.interface`, because the host and the router
share the types of this module.
"""

from __future__ import annotations

import importlib.util
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import ModuleType

from stepsail import decisions

PACKAGE = decisions.__name__
SHARED_MODULE = f"{PACKAGE}.interface"


class InvalidBuild(Exception):
    """A path does not contain a build of the decisions that can be replayed."""

    def __init__(self, path: Path, found: str) -> None:
        super().__init__(f"{path}: expected a decision package or file with the class Router, found {found}")
        self.path = path
        self.found = found


def load_build(path: Path) -> ModuleType:
    """Return a module with the build's `Router` and all classes named in snapshots. Raises InvalidBuild.

    A single file may define the router alone; classes that it lacks are taken from the running program.
    """
    if path.is_dir():
        init_file = path / "__init__.py"
        if not init_file.is_file():
            raise InvalidBuild(path, "a folder without __init__.py")
        with _package_replaced():
            module = _load(PACKAGE, init_file, path)
    else:
        module = _load(f"stepsail_other_{path.stem}", path, None)
    if not hasattr(module, "Router"):
        has_former_interface = hasattr(module, "Umpire")
        found = "Umpire: it is written for a former interface" if has_former_interface else "none"
        raise InvalidBuild(path, found)
    for name in decisions.__all__:
        if not hasattr(module, name):
            setattr(module, name, getattr(decisions, name))
    return module


def _load(name: str, file: Path, folder: Path | None) -> ModuleType:
    spec = importlib.util.spec_from_file_location(
        name, file, submodule_search_locations=None if folder is None else [str(folder)]
    )
    if spec is None or spec.loader is None:
        raise InvalidBuild(file, "no Python source")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    try:
        spec.loader.exec_module(module)
    except (ImportError, SyntaxError) as error:
        raise InvalidBuild(file, f"{type(error).__name__}: {error}") from error
    return module


@contextmanager
def _package_replaced() -> Iterator[None]:
    """Remove the package's modules from `sys.modules`, and restore them on exit.

    Another build of the package can be imported in between.
    """

    def imported_modules() -> list[str]:
        """Return the names of the package's modules that are imported."""
        return [name for name in sys.modules if name == PACKAGE or name.startswith(f"{PACKAGE}.")]

    own_modules = {name: sys.modules[name] for name in imported_modules()}
    for name in own_modules:
        if name != SHARED_MODULE:
            del sys.modules[name]
    try:
        yield
    finally:
        for name in imported_modules():
            del sys.modules[name]
        sys.modules.update(own_modules)
