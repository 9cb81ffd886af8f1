"""Families of days. Each family targets one weakness that operators have found; `mix` targets all of them.

Each family is a function that fills an empty Day. The number of the day cycles through the variants
that the family must cover; everything else is random.
"""

from dataclasses import dataclass, field

import troubles
from draw import RandomSource
from site_file import Site

# With more troubles in a day the bench mostly delays entries until others have ended.
MAX_FAULTS = 12
MAX_PLANS = 12
# No trouble begins in the last seconds of the traffic, so that the end of the day still tests recovery.
QUIET_END_S = 3.0
# The bench applies the same rules to a long day; only its CPU time limits the length.
LONG_DAY_EVERY = 6
LONG_DAY_S = (90, 180, 300, 600)


@dataclass
class Day:
    """One day as it is written to the day file."""

    name: str
    seed: int
    length_s: float
    faults: list = field(default_factory=list)
    plan: list = field(default_factory=list)
    closing: dict | None = None
    max_faults: int = MAX_FAULTS
    max_plans: int = MAX_PLANS

    def add_trouble(self, at: float, trouble: dict) -> None:
        """Adds a trouble at a time in seconds, unless the day is full or the time is too close to its start or end."""
        planned = trouble["kind"] in troubles.PLANNED_KINDS
        entries = self.plan if planned else self.faults
        most = self.max_plans if planned else self.max_faults
        if len(entries) < most and 0.5 <= at <= self.length_s - QUIET_END_S:
            entries.append({"at": round(at, 2)} | trouble)

    def kinds(self) -> set:
        """Returns the kinds of trouble in the day, including the closing fault."""
        found = {entry["kind"] for entry in self.faults + self.plan}
        return found | ({self.closing["kind"]} if self.closing else set())


def _random_closing_fault(rng: RandomSource) -> dict | None:
    """Returns a closing fault in three of four draws, else None."""
    kind = rng.pick(("", "kill_all", "power_off_all", "wipe_after_ack"))
    if not kind:
        return None
    return _closing_fault(kind, rng)


def _closing_fault(kind: str, rng: RandomSource) -> dict:
    closing = {"kind": kind, "down_s": rng.number(0.4, 2)}
    if kind == "wipe_after_ack":
        closing["how"] = rng.pick(("", "aimed", "oldest", "timed", "taken"))
    return closing


def _cycle(choices, number: int):
    """Returns the choice for the day with this number; consecutive days cycle through the choices."""
    return choices[number % len(choices)]


def _config_change(rng: RandomSource) -> dict:
    return {"kind": "config_change", "how": rng.pick(troubles.CONFIG_CHANGES)}


# --- cut: the network of a control machine is cut off for about twenty seconds ---

CORE_CUTS = (
    "all",
    "near",
    "oldest",
    "one_way",
    "seeds",
    "both",
    "lure",
    "leader",
    "reader",
    "turn",
    "seed",
    "reset",
    "refuse",
    "leader meet",
    "leader race",
    "leader race hard",
    "race hard drain",
    "meet drain",
)
NODE_CUTS = ("", "all", "servers", "one_way", "reset", "refuse")


def fill_cut(day: Day, rng: RandomSource, site: Site, number: int) -> None:
    """Cuts off one counted machine for a long time, in the variant of this day, with other troubles during the cut."""
    begin = rng.number(2, 7)
    length = rng.number(17, 22)
    how = _cycle(CORE_CUTS, number)
    if rng.chance(0.4):
        how = " ".join(word for word in (how, _missing_return_words(how, rng)) if word)
    day.add_trouble(begin, {"kind": "core_cut", "count": 1, "for_s": length, "how": how})
    _add_node_cut(day, rng, begin, number)
    for _ in range(rng.integer(1, 3)):
        day.add_trouble(begin + rng.number(1, length + 2), _config_change(rng))
    if rng.chance(0.5):
        _add_leader_kill(day, rng, begin + length + rng.number(0.1, site.sync_s + 2))
    if rng.chance(0.5):
        day.add_trouble(begin + rng.number(2, length), troubles.draw_trouble("scale_in", rng, site))
    day.closing = _random_closing_fault(rng)


def _missing_return_words(how: str, rng: RandomSource) -> str:
    """Returns words for events on the return of a machine, or nothing if the variant already has some."""
    present = {"meet", "race", "hard", "drain"} & set(how.split())
    return "" if present else troubles.return_words(rng)


def _add_node_cut(day: Day, rng: RandomSource, begin: float, number: int) -> None:
    """Also cuts off machines that are not counted, for up to 20 seconds."""
    cut = {
        "kind": "node_cut",
        "on": rng.pick(("front", "side")),
        "share": rng.number(0.1, 0.25),
        "for_s": rng.number(4, 20),
        "how": _cycle(NODE_CUTS, number),
    }
    day.add_trouble(begin + rng.number(0, 8), cut)


def _add_leader_kill(day: Day, rng: RandomSource, at: float) -> None:
    how = rng.words(("leader",), ("", "power"), ("", "meet", "race"), ("", "hard"), ("", "drain"))
    day.add_trouble(at, {"kind": "node_kill", "on": "core", "count": 1, "for_s": rng.number(1, 4), "how": how})


# --- operators: many concurrent orders, lost acknowledgements, invalid configurations ---


def fill_operators(day: Day, rng: RandomSource, site: Site, number: int) -> None:
    """Sends up to eight concurrent orders while acknowledgements are lost and leaders are killed."""
    begin = rng.number(1, 6)
    day.add_trouble(begin, {"kind": "ack_lost", "x": rng.number(0.4, 0.95), "for_s": rng.number(10, 26)})
    for _ in range(rng.integer(2, 4)):
        day.add_trouble(begin + rng.number(0, 24), _config_race(rng))
    for _ in range(rng.integer(1, 4)):
        day.add_trouble(begin + rng.number(0, 24), _config_change(rng))
    for _ in range(rng.integer(1, 2)):
        day.add_trouble(begin + rng.number(0, 24), _same_version_config(rng))
    day.add_trouble(begin + rng.number(0, 20), troubles.draw_trouble("bad_config", rng, site))
    for _ in range(rng.integer(1, 3)):
        _add_leader_kill(day, rng, begin + rng.number(0.5, 22))
    if rng.chance(0.5):
        day.add_trouble(begin + rng.number(0, 20), troubles.draw_trouble("after_ack_kill", rng, site))
    day.closing = _random_closing_fault(rng)


def _config_race(rng: RandomSource) -> dict:
    """Returns pairs of changes based on the same version; four pairs without a pause are eight concurrent orders."""
    gap = rng.pick((0.01, 0.05, 0.2, 0.8))
    return {"kind": "config_race", "count": rng.integer(3, 8), "gap_s": gap}


def _same_version_config(rng: RandomSource) -> dict:
    return {"kind": "bad_config", "how": "same_version", "count": rng.integer(2, 6), "gap_s": rng.number(0.1, 1)}


# --- second-loss: a machine is lost, and another one as soon as the rules allow, or earlier ---

FIRST_LOSSES = ("replace_core", "after_ack_wipe", "roll_term", "replace_core planned", "after_ack_wipe oldest")
SECOND_LOSSES = ("after_ack_wipe", "after_ack_kill", "node_kill", "core_cut", "node_freeze", "replace_core")


def fill_second_loss(day: Day, rng: RandomSource, site: Site, number: int) -> None:
    """Loses a machine, a second one just before or after the catch-up time of the first has passed, then a third."""
    at = rng.number(2, 6)
    first = _first_loss(_cycle(FIRST_LOSSES, number), rng)
    day.add_trouble(at, first)
    for _ in range(2):
        at += _until_next_loss(first, rng, site)
        second = _second_loss(rng.pick(SECOND_LOSSES), rng, site)
        day.add_trouble(at, second)
        first = second
    for _ in range(rng.integer(1, 3)):
        day.add_trouble(rng.number(1, day.length_s - QUIET_END_S), _config_change(rng))
    if rng.chance(0.5):
        day.add_trouble(rng.number(8, 28), _config_race(rng))
    closing = rng.pick(("wipe_after_ack", "wipe_after_ack", "power_off_all"))
    day.closing = _closing_fault(closing, rng)


def _first_loss(variant: str, rng: RandomSource) -> dict:
    kind, _, how = variant.partition(" ")
    if kind == "replace_core":
        return {"kind": kind, "x": rng.number(0.5, 2.5), "how": how}
    if kind == "roll_term":
        return {"kind": kind, "on": "core", "share": 0.34, "x": 1, "gap_s": rng.number(0.8, 2), "how": "remove"}
    return {"kind": kind, "for_s": rng.number(0.5, 2.5), "how": how}


def _second_loss(kind: str, rng: RandomSource, site: Site) -> dict:
    trouble = troubles.draw_trouble(kind, rng, site)
    if kind in ("node_kill", "node_freeze"):
        trouble.pop("share", None)
        trouble |= {"on": "core", "count": 1}
    return trouble


def _until_next_loss(loss: dict, rng: RandomSource, site: Site) -> float:
    """Returns the seconds from a loss to the next: close to the end of `sync_s`, or in one of four draws anywhere within it."""
    absent = loss.get("for_s", loss.get("x", 1))
    if rng.chance(0.25):
        return absent + rng.number(0.2, site.sync_s)
    return absent + site.sync_s + rng.number(-0.6, 0.8)


# --- many-changes: long days with hundreds of changes, restarts and disk faults ---


def fill_many_changes(day: Day, rng: RandomSource, site: Site, number: int) -> None:
    """Changes the configuration all the time while machines restart; some days last up to ten minutes."""
    if number % LONG_DAY_EVERY == 0:
        day.length_s = float(_cycle(LONG_DAY_S, number // LONG_DAY_EVERY))
    day.max_faults = day.max_plans = max(MAX_FAULTS, int(day.length_s / 6))
    last = day.length_s - QUIET_END_S
    for _ in range(max(3, int(day.length_s / 12))):
        changes = {"kind": "config_race", "count": rng.integer(6, 12), "gap_s": rng.number(0.3, 1)}
        day.add_trouble(rng.number(1, last), changes)
    for _ in range(max(2, int(day.length_s / 15))):
        day.add_trouble(rng.number(1, last), _config_change(rng))
    for _ in range(max(1, int(day.length_s / 40))):
        day.add_trouble(rng.number(2, last - 6), troubles.draw_trouble("roll_term", rng, site))
        day.add_trouble(rng.number(1, last), {"kind": "seed_turnover"})
    for _ in range(max(3, int(day.length_s / 12))):
        _restart_or_disk_trouble(day, rng, site, last)
    day.closing = _random_closing_fault(rng)


def _restart_or_disk_trouble(day: Day, rng: RandomSource, site: Site, last: float) -> None:
    at = rng.number(2, last)
    if rng.chance(0.5):
        how = rng.words(("", "leader", "turn"), ("", "power"), ("", "meet", "race"))
        restart = {"kind": "node_kill", "on": "core", "count": 1, "for_s": rng.number(0.5, 2), "how": how}
        day.add_trouble(at, restart)
        return
    day.add_trouble(at, troubles.draw_trouble(rng.pick(("disk_stall", "disk_slow", "disk_full")), rng, site))


# --- wrong-caller: orders and responses between control machines and workers are lost or late ---


def fill_wrong_caller(day: Day, rng: RandomSource, site: Site, number: int) -> None:
    """Adds lost responses, late orders, resets, cuts and machines that stop responding, hang or leave."""
    entries = (
        {"kind": "applied_late", "x": rng.number(0.1, 0.5), "for_s": rng.number(6, 15), "how": _cycle(troubles.LATE_ORDERS, number)},
        {"kind": "srv_cut", "share": rng.number(0.1, 0.3), "for_s": rng.number(3, 12), "how": _cycle(troubles.SERVER_CUTS, number)},
        {
            "kind": "srv_grey",
            "share": rng.number(0.1, 0.2),
            "x": rng.number(0.3, 1),
            "for_s": rng.number(4, 10),
            "how": _cycle(("mute", "hang", "reset"), number),
        },
        {"kind": "scale_in", "share": rng.number(0.1, 0.25), "how": _cycle(("spot", ""), number)},
    )
    for entry in entries:
        day.add_trouble(rng.number(4, 22), entry)
    for kind in rng.sample(("reset_conns", "node_freeze", "ack_lost", "reset_conns", "node_cut"), 4):
        day.add_trouble(rng.number(4, 26), troubles.draw_trouble(kind, rng, site))
    if rng.chance(0.5):
        _add_leader_kill(day, rng, rng.number(6, 24))
    if rng.chance(0.5):
        day.add_trouble(rng.number(2, 26), _config_change(rng))
    day.closing = _random_closing_fault(rng)


# --- mix: all kinds of trouble, several at the same time ---


def fill_mix(day: Day, rng: RandomSource, site: Site, number: int) -> None:
    """Adds troubles of all kinds that apply to the site, several of them at the same time."""
    kinds = troubles.applicable_kinds(site)
    moment = rng.number(2, 12)
    for _ in range(rng.integer(6, 12)):
        if rng.chance(0.6):
            moment = rng.number(1, day.length_s - QUIET_END_S)
        day.add_trouble(moment, troubles.draw_trouble(rng.pick(kinds), rng, site))
    day.closing = _random_closing_fault(rng)


FAMILIES = {
    "cut": fill_cut,
    "operators": fill_operators,
    "second-loss": fill_second_loss,
    "many-changes": fill_many_changes,
    "wrong-caller": fill_wrong_caller,
    "mix": fill_mix,
}


def make_day(family: str, site: Site, seed: int, number: int) -> Day:
    """Returns day `number` of a family; the same site and seed give the same day."""
    rng = RandomSource(seed, site.name, family, number)
    day = Day(name=f"{family}-{number}", seed=rng.integer(1, 2**28), length_s=site.length_s)
    FAMILIES[family](day, rng, site, number)
    day.faults.sort(key=lambda entry: entry["at"])
    day.plan.sort(key=lambda entry: entry["at"])
    return day
