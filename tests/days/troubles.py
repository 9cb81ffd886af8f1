"""One drawn trouble of each kind that the bench knows, as `fleetbench kinds` lists them.

A trouble is a dict of the fields of the day file, still without `at`. Durations, shares and counts
are kept within what the bench plays: long enough to hurt, short enough for a day of half a minute.
"""

from draw import Draw
from site_file import Site

# Troubles that are planned work stand under `plan` in a day file, all others under `faults`.
PLANNED_KINDS = frozenset(
    {
        "bad_config",
        "config_change",
        "config_race",
        "hup",
        "roll_term",
        "scale_in",
        "seed_turnover",
    }
)

# Which machines are struck: by their part in the protocol rather than by lot.
TARGETS = ("", "leader", "reader", "turn", "seed")
# What happens as a machine returns.
RETURN_EVENTS = ("", "meet", "race")
HARDNESS = ("", "hard")
DRAINS = ("", "drain")

CORE_CUT_SCOPES = ("", "all", "near", "oldest", "one_way", "seeds", "both", "lure")
NODE_CUT_SCOPES = ("", "all", "servers", "one_way")
CUT_STYLES = ("", "reset", "refuse")

CONFIG_CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
BAD_CONFIGS = (
    "cut_short",
    "unknown_service",
    "same_place",
    "no_weight",
    "no_timeout",
    "old_version",
    "same_version",
    "stale_match",
    "shared_key",
)
LATE_ORDERS = ("orders", "cloud", "grants", "all")
SERVER_CUTS = ("", "fronts", "one_way", "reset")
GREY_FAILURES = ("errors", "shed", "busy", "hang", "reset", "mute", "slow")

_drawers = {}


def _draws(kind: str):
    """Registers a function as the one that draws troubles of a kind."""

    def register(function):
        _drawers[kind] = function
        return function

    return register


def applicable_kinds(site: Site) -> list[str]:
    """The kinds that apply to a deployment, in a fixed order."""
    return sorted(kind for kind in _drawers if site.knows(kind))


def draw_trouble(kind: str, draw: Draw, site: Site) -> dict:
    """A trouble of this kind, without its time."""
    return {"kind": kind} | _drawers[kind](draw, site)


def return_words(draw: Draw) -> str:
    """What happens to a machine as it returns; empty in half of the draws."""
    if draw.chance(0.5):
        return ""
    return draw.words(RETURN_EVENTS, HARDNESS, DRAINS)


def _join(*words: str) -> str:
    return " ".join(word for word in words if word)


def _strike_core(draw: Draw, style: str = "") -> dict:
    """Fields that strike one counted machine."""
    how = _join(draw.pick(TARGETS), style, return_words(draw))
    return {"on": "core", "count": 1, "how": how}


def _strike_any(draw: Draw, style: str = "") -> dict:
    """Fields that strike either a counted machine or a share of one class."""
    if draw.chance(0.5):
        return _strike_core(draw, style)
    return {"on": draw.pick(("front", "side")), "share": draw.number(0.1, 0.3), "how": style}


@_draws("burst")
def _burst(draw, site):
    return {"class": draw.pick(site.request_classes), "x": draw.number(1.5, 3), "for_s": draw.number(2, 6)}


@_draws("hot_key")
def _hot_key(draw, site):
    return {"class": site.request_classes[0], "share": draw.number(0.3, 0.7), "for_s": draw.number(3, 6)}


@_draws("poison")
def _poison(draw, site):
    return {"class": draw.pick(site.request_classes), "share": draw.number(0.02, 0.08), "for_s": draw.number(2, 5)}


@_draws("srv_crash")
def _srv_crash(draw, site):
    how = draw.words(("", "dark", "gone", "dark gone"), ("", "", "across"))
    return {"share": draw.number(0.05, 0.25), "for_s": draw.number(2, 6), "how": how}


@_draws("srv_slow")
def _srv_slow(draw, site):
    return {"share": draw.number(0.1, 0.3), "x": draw.number(3, 8), "for_s": draw.number(3, 8)}


@_draws("srv_grey")
def _srv_grey(draw, site):
    how = draw.words(GREY_FAILURES, ("", "", "one_zone"))
    strength = draw.number(4, 8) if "slow" in how else draw.number(0.3, 1)
    return {"share": draw.number(0.05, 0.2), "x": strength, "for_s": draw.number(3, 8), "how": how}


@_draws("srv_lying_health")
def _srv_lying_health(draw, site):
    return {"share": draw.number(0.05, 0.15), "for_s": draw.number(3, 7), "how": draw.pick(("errors", "hang", "reset", "bad"))}


@_draws("srv_flap")
def _srv_flap(draw, site):
    return {"share": draw.number(0.05, 0.15), "gap_s": draw.number(0.7, 2), "for_s": draw.number(4, 8)}


@_draws("srv_cut")
def _srv_cut(draw, site):
    return {"share": draw.number(0.1, 0.3), "for_s": draw.number(2, 8), "how": draw.pick(SERVER_CUTS)}


@_draws("scale_in")
def _scale_in(draw, site):
    return {"share": draw.number(0.05, 0.2), "how": draw.pick(("", "spot"))}


@_draws("node_kill")
def _node_kill(draw, site):
    return _strike_any(draw, draw.pick(("", "power"))) | {"for_s": draw.number(1, 5)}


@_draws("node_freeze")
def _node_freeze(draw, site):
    return _strike_any(draw) | {"for_s": draw.number(1, 6)}


@_draws("node_slow")
def _node_slow(draw, site):
    return _strike_any(draw) | {"x": draw.number(3, 6), "for_s": draw.number(2, 6)}


@_draws("node_cut")
def _node_cut(draw, site):
    how = _join(draw.pick(NODE_CUT_SCOPES), draw.pick(CUT_STYLES))
    return {"on": draw.pick(("front", "side")), "share": draw.number(0.1, 0.3), "for_s": draw.number(2, 8), "how": how}


@_draws("core_cut")
def _core_cut(draw, site):
    how = _join(draw.pick(TARGETS), draw.pick(CORE_CUT_SCOPES), draw.pick(CUT_STYLES), return_words(draw))
    return {"count": 1, "for_s": draw.number(2, 8), "how": how}


@_draws("herd_kill")
def _herd_kill(draw, site):
    if draw.chance(0.6):
        return {"on": "core", "share": 1, "for_s": draw.number(0.5, 2), "how": draw.pick(("", "power", "taken", "taken all"))}
    return {"on": draw.pick(("front", "side")), "share": draw.number(0.3, 0.6), "for_s": draw.number(1, 3), "how": draw.pick(("", "power"))}


@_draws("replace_core")
def _replace_core(draw, site):
    return {"x": draw.number(0.5, 3), "how": draw.pick(("", "oldest", "planned", "seed", "leader"))}


@_draws("after_ack_wipe")
def _after_ack_wipe(draw, site):
    return {"for_s": draw.number(0.5, 3), "how": draw.pick(("", "oldest", "timed", "taken"))}


@_draws("after_ack_kill")
def _after_ack_kill(draw, site):
    return {"for_s": draw.number(0.5, 3), "how": draw.pick(("", "kill", "timed", "taken", "taken gone"))}


@_draws("roll_term")
def _roll_term(draw, site):
    fields = {"share": draw.number(0.2, 0.6), "x": 1, "gap_s": draw.number(0.6, 1.5), "how": draw.pick(("", "", "busy", "remove"))}
    if draw.chance(0.4):
        fields["on"] = "core"
    return fields


@_draws("seed_turnover")
def _seed_turnover(draw, site):
    return {}


@_draws("hup")
def _hup(draw, site):
    return {"share": draw.number(0.2, 1), "gap_s": draw.number(0.5, 3)}


@_draws("disk_stall")
def _disk_stall(draw, site):
    return {"count": 1, "for_s": draw.number(1, 4), "how": draw.pick(("", "leader"))}


@_draws("disk_slow")
def _disk_slow(draw, site):
    return {"count": 1, "x": draw.number(10, 40), "for_s": draw.number(2, 8), "how": draw.pick(("", "leader"))}


@_draws("disk_full")
def _disk_full(draw, site):
    return {"count": 1, "for_s": draw.number(2, 6), "how": draw.pick(("", "leader"))}


@_draws("clock_step")
def _clock_step(draw, site):
    return {"share": draw.number(0.2, 0.5), "x": draw.number(500, 4000), "for_s": draw.number(3, 8), "how": draw.pick(("back", "ahead"))}


@_draws("reset_conns")
def _reset_conns(draw, site):
    return _strike_any(draw) | {"x": draw.number(0.3, 1)}


@_draws("ack_lost")
def _ack_lost(draw, site):
    return {"x": draw.number(0.3, 0.9), "for_s": draw.number(4, 12)}


@_draws("config_change")
def _config_change(draw, site):
    return {"how": draw.pick(CONFIG_CHANGES)}


@_draws("config_race")
def _config_race(draw, site):
    return {"count": draw.whole(1, 4), "gap_s": draw.number(0.3, 1.5)}


@_draws("bad_config")
def _bad_config(draw, site):
    return {"count": draw.whole(1, 3), "gap_s": draw.number(0.3, 1.2), "how": draw.pick(BAD_CONFIGS)}


@_draws("applied_late")
def _applied_late(draw, site):
    return {"x": draw.number(0.03, 0.3), "for_s": draw.number(3, 8), "how": draw.pick(LATE_ORDERS)}
