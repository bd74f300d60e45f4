"""Checks that settings are consistent with each other.

Error messages name a setting as it is written in the settings file.
"""

from __future__ import annotations

from typing import Any

from stepsail.settings.definitions import FORMAT_WITHOUT_DEFAULTS, REQUIRED_IN_FORMAT_2
from stepsail.settings.model import MAX_ZONE_NAME_LENGTH
from stepsail.settings.tree import SettingsTree

# Allowed numbers of voters on policy changes. They are odd, so that the voters cannot split into two
# equal halves.
VOTER_COUNTS = (3, 5)

Values = dict[str, Any]


def check_consistency(tree: SettingsTree) -> None:
    """Add an error to the tree for each inconsistency between settings."""
    _check_required_in_format_2(tree)
    _check_zones(tree)
    _check_gossip(tree)
    _check_policy(tree)
    _check_instance_number(tree)
    _check_request_classes(tree)
    _check_stages(tree)
    _check_idempotent_only_stages(tree)
    _check_key_affinity(tree)
    _check_peers(tree)


def _check_required_in_format_2(tree: SettingsTree) -> None:
    if tree.values.get("shape", 1) != FORMAT_WITHOUT_DEFAULTS:
        return
    for block, names in REQUIRED_IN_FORMAT_2.items():
        missing = [name for name in names if name not in tree.values.get(block, {})]
        if missing:
            message = (
                f"missing in {block}: {', '.join(missing)}; with 'shape 2' these settings have no default"
            )
            tree.add_error(tree.location_of(block), message)


def _check_zones(tree: SettingsTree) -> None:
    zone = tree.values["zone"]
    zones = tree.values["zones"]
    if zone not in zones:
        tree.add_error(tree.location_of("zone"), f"'{zone}' is not one of the zones {', '.join(zones)}")
    if len(set(zones)) < len(zones):
        tree.add_error(tree.location_of("zones"), "a zone is listed twice")
    if "view" in tree.values and len(zone) > MAX_ZONE_NAME_LENGTH:
        message = f"with 'view', the name of a zone has at most {MAX_ZONE_NAME_LENGTH} characters"
        tree.add_error(tree.location_of("zone"), message)


def _check_gossip(tree: SettingsTree) -> None:
    if "neighbours" in tree.values and tree.values.get("view", {}).get("speak"):
        message = "instances already gossip through 'neighbours'; remove one of the two"
        tree.add_error(tree.location_of("view", "speak"), message)


def _check_policy(tree: SettingsTree) -> None:
    if "policy" not in tree.values:
        return
    policy = tree.values["policy"]
    location = tree.location_of("policy")
    voters = [voter["number"] for voter in policy.get("keeper", [])]
    distinct = set(voters)
    if "view" not in tree.values:
        tree.add_error(location, "policy messages use the ports of 'view'; add 'view'")
    if len(distinct) not in VOTER_COUNTS or len(distinct) < len(voters):
        tree.add_error(location, "expected three or five settings 'keeper', each with a different number")
    if tree.values["umpire"]["number"] in voters and "keep" not in policy:
        tree.add_error(location, "this instance is a 'keeper'; add 'keep FOLDER'")


def _check_instance_number(tree: SettingsTree) -> None:
    count = tree.values["umpire"]["count"]
    if tree.values["umpire"]["number"] >= count:
        message = f"instances are numbered from 0 to {count - 1}"
        tree.add_error(tree.location_of("umpire", "number"), message)


def _check_request_classes(tree: SettingsTree) -> None:
    names: set[str] = set()
    classes_by_route: dict[tuple[str, str], str] = {}
    for index, request_class in enumerate(tree.values["product"]):
        name = request_class["name"]
        if name in names:
            tree.add_error(tree.location_of("product", index), f"product '{name}' is defined twice")
        names.add(name)
        if request_class["target"] > request_class["abandon"]:
            message = "the target time is longer than the abandon time"
            tree.add_error(tree.location_of("product", index, "target"), message)
        _check_idempotency(tree, index, request_class["repeats"])
        _check_routes(tree, index, request_class, classes_by_route)


def _check_idempotency(tree: SettingsTree, index: int, repeats: Values) -> None:
    if (repeats["kind"] == "labelled") != ("window" in repeats):
        message = "write 'labelled all|zone|cell TIME'; the other kinds take no group and no time"
        tree.add_error(tree.location_of("product", index, "repeats"), message)


def _check_routes(
    tree: SettingsTree, index: int, request_class: Values, classes_by_route: dict[tuple[str, str], str]
) -> None:
    """Check that no route belongs to two request classes; add the class's routes to `classes_by_route`."""
    for route_index, route_values in enumerate(request_class["route"]):
        route = (route_values["method"], route_values["path"])
        if route in classes_by_route:
            message = f"{' '.join(route)} already belongs to product '{classes_by_route[route]}'"
            tree.add_error(tree.location_of("product", index, "route", route_index), message)
        classes_by_route.setdefault(route, request_class["name"])


def _check_stages(tree: SettingsTree) -> None:
    stages = tree.values["release"]["stage"]
    for index, stage in enumerate(stages):
        if index and stage["share"] < stages[index - 1]["share"]:
            message = "a stage is smaller than the one before it"
            tree.add_error(tree.location_of("release", "stage", index), message)
        if stage["cap"] < stage["share"]:
            message = "the cap is under the stage's share of the fleet; its servers would stand idle"
            tree.add_error(tree.location_of("release", "stage", index, "cap"), message)


def _check_idempotent_only_stages(tree: SettingsTree) -> None:
    stage_count = len(tree.values["release"]["stage"])
    if tree.values["release"].get("guarded-stages", 0) > stage_count:
        message = f"there are only {stage_count} stages"
        tree.add_error(tree.location_of("release", "guarded-stages"), message)


def _check_key_affinity(tree: SettingsTree) -> None:
    key_affinity = tree.values.get("servers", {}).get("warm-keys")
    if key_affinity and "subject-secret" not in tree.values.get("door", {}):
        message = (
            "instances choose the same server for a key only if they share a secret; "
            "add: door { subject-secret TEXT }"
        )
        tree.add_error(tree.location_of("servers", "warm-keys"), message)


def _check_peers(tree: SettingsTree) -> None:
    numbers: set[int] = set()
    for index, peer in enumerate(tree.values.get("neighbours", {}).get("neighbour", [])):
        number = peer["number"]
        if number >= tree.values["umpire"]["count"] or number in numbers:
            location = tree.location_of("neighbours", "neighbour", index)
            tree.add_error(location, "no instance has this number, or the number is given twice")
        numbers.add(number)
