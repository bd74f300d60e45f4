"""The settings of an instance: parsing and checking of settings files, flat settings, and the typed result.

The parser and the checks take long to import and are needed only to read a settings file. `load_settings` is
therefore imported at its first use: an instance that gets its settings in another form starts without them.
"""

from typing import TYPE_CHECKING, Any

from stepsail.settings.errors import InvalidSettings, SettingsError
from stepsail.settings.model import InstanceSettings, Route

if TYPE_CHECKING:
    from stepsail.settings.loader import load_settings

__all__ = ["InstanceSettings", "InvalidSettings", "Route", "SettingsError", "load_settings"]


def __getattr__(name: str) -> Any:
    """Import `load_settings` when it is first accessed."""
    if name == "load_settings":
        from stepsail.settings.loader import load_settings

        return load_settings
    raise AttributeError(name)
