"""What the generator needs to know of a deployment, read from the bench's site file."""

import tomllib
from dataclasses import dataclass

# Kinds that only some deployments know: they apply where the site's own list of troubles names them.
SITE_SPECIFIC_KINDS = ("hot_key", "srv_flap", "srv_lying_health")


@dataclass(frozen=True)
class Site:
    """The part of a site file that shapes the days."""

    name: str
    length_s: float
    sync_s: float
    tolerated_machines: int
    zones: tuple[str, ...]
    request_classes: tuple[str, ...]
    listed_kinds: frozenset[str]

    def supports(self, kind: str) -> bool:
        """Whether troubles of this kind apply to the deployment."""
        return kind not in SITE_SPECIFIC_KINDS or kind in self.listed_kinds


def read_site(path: str) -> Site:
    """Reads a site file."""
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
