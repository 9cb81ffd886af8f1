"""Reads the properties of a deployment that the generator of days needs from a site file of the bench."""

import tomllib
from dataclasses import dataclass

# Kinds that only some deployments support: they apply if the list of troubles in the site file contains them.
SITE_SPECIFIC_KINDS = ("hot_key", "srv_flap", "srv_lying_health")


@dataclass(frozen=True)
class Site:
    """The properties of a deployment that affect the generated days."""

    name: str
    length_s: float
    sync_s: float
    tolerated_machines: int
    zones: tuple[str, ...]
    request_classes: tuple[str, ...]
    listed_kinds: frozenset[str]

    def supports(self, kind: str) -> bool:
        """Reports whether troubles of this kind apply to the deployment."""
        return kind not in SITE_SPECIFIC_KINDS or kind in self.listed_kinds


def read_site(path: str) -> Site:
    """Reads a site file; raises KeyError if it lacks a needed field."""
    with open(path, "rb") as file:
        content = tomllib.load(file)
    return Site(
        name=content["name"],
        length_s=content["length_s"],
        sync_s=content["timing"]["catch_up_s"],
        tolerated_machines=content["tolerate"]["machines"],
        zones=tuple(zone["name"] for zone in content["zones"]),
        request_classes=tuple(entry["name"] for entry in content["classes"]),
        listed_kinds=frozenset(trouble["kind"] for trouble in content["troubles"]),
    )
