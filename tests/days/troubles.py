"""Generates random troubles of the kinds that `fleetbench kinds` lists.

A trouble is a dict of the fields of the day file without `at`. Durations, shares and counts stay within
the limits of the bench: long enough to have an effect, short enough for a day of half a minute.
"""

from draw import RandomSource
from site_file import Site

# Kinds of planned work. They are listed under `plan` in a day file, all others under `faults`.
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

# Selects the affected machines by their role in the protocol; empty for random ones.
TARGETS = ("", "leader", "reader", "turn", "seed")
# Events while a machine returns.
RETURN_EVENTS = ("", "meet", "race")
HARD_KILLS = ("", "hard")
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

_generators = {}


def _generates(kind: str):
    """Registers a function that generates troubles of a kind."""

    def register(function):
        _generators[kind] = function
        return function

    return register


def applicable_kinds(site: Site) -> list[str]:
    """Returns the kinds that apply to a deployment, in a fixed order."""
    return sorted(kind for kind in _generators if site.supports(kind))


def draw_trouble(kind: str, rng: RandomSource, site: Site) -> dict:
    """Returns a random trouble of this kind, without its time."""
    return {"kind": kind} | _generators[kind](rng, site)


def return_words(rng: RandomSource) -> str:
    """Returns words for the events while a machine returns; empty in at least half of the draws."""
    if rng.chance(0.5):
        return ""
    return rng.words(RETURN_EVENTS, HARD_KILLS, DRAINS)


def _join(*words: str) -> str:
    return " ".join(word for word in words if word)


def _core_target_fields(rng: RandomSource, style: str = "") -> dict:
    """Returns the fields that target one counted machine."""
    how = _join(rng.pick(TARGETS), style, return_words(rng))
    return {"on": "core", "count": 1, "how": how}


def _any_target_fields(rng: RandomSource, style: str = "") -> dict:
    """Returns the fields that target either one counted machine or a share of one class of machines."""
    if rng.chance(0.5):
        return _core_target_fields(rng, style)
    return {"on": rng.pick(("front", "side")), "share": rng.number(0.1, 0.3), "how": style}


@_generates("burst")
def _burst(rng, site):
    return {"class": rng.pick(site.request_classes), "x": rng.number(1.5, 3), "for_s": rng.number(2, 6)}


@_generates("hot_key")
def _hot_key(rng, site):
    return {"class": site.request_classes[0], "share": rng.number(0.3, 0.7), "for_s": rng.number(3, 6)}


@_generates("poison")
def _poison(rng, site):
    return {"class": rng.pick(site.request_classes), "share": rng.number(0.02, 0.08), "for_s": rng.number(2, 5)}


@_generates("srv_crash")
def _srv_crash(rng, site):
    how = rng.words(("", "dark", "gone", "dark gone"), ("", "", "across"))
    return {"share": rng.number(0.05, 0.25), "for_s": rng.number(2, 6), "how": how}


@_generates("srv_slow")
def _srv_slow(rng, site):
    return {"share": rng.number(0.1, 0.3), "x": rng.number(3, 8), "for_s": rng.number(3, 8)}


@_generates("srv_grey")
def _srv_grey(rng, site):
    how = rng.words(GREY_FAILURES, ("", "", "one_zone"))
    strength = rng.number(4, 8) if "slow" in how else rng.number(0.3, 1)
    return {"share": rng.number(0.05, 0.2), "x": strength, "for_s": rng.number(3, 8), "how": how}


@_generates("srv_lying_health")
def _srv_lying_health(rng, site):
    return {"share": rng.number(0.05, 0.15), "for_s": rng.number(3, 7), "how": rng.pick(("errors", "hang", "reset", "bad"))}


@_generates("srv_flap")
def _srv_flap(rng, site):
    return {"share": rng.number(0.05, 0.15), "gap_s": rng.number(0.7, 2), "for_s": rng.number(4, 8)}


@_generates("srv_cut")
def _srv_cut(rng, site):
    return {"share": rng.number(0.1, 0.3), "for_s": rng.number(2, 8), "how": rng.pick(SERVER_CUTS)}


@_generates("scale_in")
def _scale_in(rng, site):
    return {"share": rng.number(0.05, 0.2), "how": rng.pick(("", "spot"))}


@_generates("node_kill")
def _node_kill(rng, site):
    return _any_target_fields(rng, rng.pick(("", "power"))) | {"for_s": rng.number(1, 5)}


@_generates("node_freeze")
def _node_freeze(rng, site):
    return _any_target_fields(rng) | {"for_s": rng.number(1, 6)}


@_generates("node_slow")
def _node_slow(rng, site):
    return _any_target_fields(rng) | {"x": rng.number(3, 6), "for_s": rng.number(2, 6)}


@_generates("node_cut")
def _node_cut(rng, site):
    how = _join(rng.pick(NODE_CUT_SCOPES), rng.pick(CUT_STYLES))
    return {"on": rng.pick(("front", "side")), "share": rng.number(0.1, 0.3), "for_s": rng.number(2, 8), "how": how}


@_generates("core_cut")
def _core_cut(rng, site):
    how = _join(rng.pick(TARGETS), rng.pick(CORE_CUT_SCOPES), rng.pick(CUT_STYLES), return_words(rng))
    return {"count": 1, "for_s": rng.number(2, 8), "how": how}


@_generates("herd_kill")
def _herd_kill(rng, site):
    if rng.chance(0.6):
        return {"on": "core", "share": 1, "for_s": rng.number(0.5, 2), "how": rng.pick(("", "power", "taken", "taken all"))}
    return {"on": rng.pick(("front", "side")), "share": rng.number(0.3, 0.6), "for_s": rng.number(1, 3), "how": rng.pick(("", "power"))}


@_generates("replace_core")
def _replace_core(rng, site):
    return {"x": rng.number(0.5, 3), "how": rng.pick(("", "oldest", "planned", "seed", "leader"))}


@_generates("after_ack_wipe")
def _after_ack_wipe(rng, site):
    return {"for_s": rng.number(0.5, 3), "how": rng.pick(("", "oldest", "timed", "taken"))}


@_generates("after_ack_kill")
def _after_ack_kill(rng, site):
    return {"for_s": rng.number(0.5, 3), "how": rng.pick(("", "kill", "timed", "taken", "taken gone"))}


@_generates("roll_term")
def _roll_term(rng, site):
    fields = {"share": rng.number(0.2, 0.6), "x": 1, "gap_s": rng.number(0.6, 1.5), "how": rng.pick(("", "", "busy", "remove"))}
    if rng.chance(0.4):
        fields["on"] = "core"
    return fields


@_generates("seed_turnover")
def _seed_turnover(rng, site):
    return {}


@_generates("hup")
def _hup(rng, site):
    return {"share": rng.number(0.2, 1), "gap_s": rng.number(0.5, 3)}


@_generates("disk_stall")
def _disk_stall(rng, site):
    return {"count": 1, "for_s": rng.number(1, 4), "how": rng.pick(("", "leader"))}


@_generates("disk_slow")
def _disk_slow(rng, site):
    return {"count": 1, "x": rng.number(10, 40), "for_s": rng.number(2, 8), "how": rng.pick(("", "leader"))}


@_generates("disk_full")
def _disk_full(rng, site):
    return {"count": 1, "for_s": rng.number(2, 6), "how": rng.pick(("", "leader"))}


@_generates("clock_step")
def _clock_step(rng, site):
    return {"share": rng.number(0.2, 0.5), "x": rng.number(500, 4000), "for_s": rng.number(3, 8), "how": rng.pick(("back", "ahead"))}


@_generates("reset_conns")
def _reset_conns(rng, site):
    return _any_target_fields(rng) | {"x": rng.number(0.3, 1)}


@_generates("ack_lost")
def _ack_lost(rng, site):
    return {"x": rng.number(0.3, 0.9), "for_s": rng.number(4, 12)}


@_generates("config_change")
def _config_change(rng, site):
    return {"how": rng.pick(CONFIG_CHANGES)}


@_generates("config_race")
def _config_race(rng, site):
    return {"count": rng.integer(1, 4), "gap_s": rng.number(0.3, 1.5)}


@_generates("bad_config")
def _bad_config(rng, site):
    return {"count": rng.integer(1, 3), "gap_s": rng.number(0.3, 1.2), "how": rng.pick(BAD_CONFIGS)}


@_generates("applied_late")
def _applied_late(rng, site):
    return {"x": rng.number(0.03, 0.3), "for_s": rng.number(3, 8), "how": rng.pick(LATE_ORDERS)}
