#!/usr/bin/env python3
"""Tests the generator of days without the bench: `python3 tests/days/days_test.py`."""

import tempfile
import tomllib
import unittest
from pathlib import Path

import families
import troubles
from make_days import to_toml
from play_days import Outcome, describe, kinds_not_played
from site_file import read_site

SMALL_SITE = """
name = "small-site"
length_s = 34.0
zones = [{ name = "north" }, { name = "south" }]
classes = [{ name = "push" }, { name = "rebuild" }]
troubles = [{ kind = "burst" }]
[timing]
catch_up_s = 4.0
[tolerate]
machines = 1
"""

# A deployment that also supports the kinds that only some deployments support.
LARGE_SITE = SMALL_SITE.replace("small-site", "large-site").replace(
    '{ kind = "burst" }', '{ kind = "hot_key" }, { kind = "srv_flap" }, { kind = "srv_lying_health" }'
)

# The kinds that the documentation of the bench lists for every deployment.
COMMON_KINDS = frozenset(
    """
    ack_lost after_ack_kill after_ack_wipe applied_late bad_config burst clock_step config_change config_race
    core_cut disk_full disk_slow disk_stall herd_kill hup node_cut node_freeze node_kill node_slow poison
    replace_core reset_conns roll_term scale_in seed_turnover srv_crash srv_cut srv_grey srv_slow
""".split()
)
EXTRA_KINDS = frozenset({"hot_key", "srv_flap", "srv_lying_health"})
DAYS = range(1, 61)


def site_of(text: str):
    """Returns the Site that a site file with this text describes."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "site.toml"
        path.write_text(text)
        return read_site(str(path))


def days_of(family: str, site, seed: int = 1) -> list:
    """Returns the first days of a family."""
    return [families.make_day(family, site, seed, number) for number in DAYS]


def variants_of(days: list, kind: str) -> set:
    """Returns the words that occur in the field `how` of a kind."""
    entries = [entry for day in days for entry in day.faults + day.plan if entry["kind"] == kind]
    return {word for entry in entries for word in entry.get("how", "").split()}


class Generator(unittest.TestCase):
    """Properties of the days of every family."""

    def setUp(self):
        self.site = site_of(SMALL_SITE)

    def test_same_seed_gives_same_days(self):
        for family in families.FAMILIES:
            first = [to_toml(day, self.site) for day in days_of(family, self.site)]
            second = [to_toml(day, self.site) for day in days_of(family, self.site)]
            self.assertEqual(first, second, family)

    def test_other_seed_gives_other_days(self):
        for family in families.FAMILIES:
            first = [to_toml(day, self.site) for day in days_of(family, self.site, seed=1)]
            second = [to_toml(day, self.site) for day in days_of(family, self.site, seed=2)]
            for one, other in zip(first, second):
                self.assertNotEqual(one, other, family)

    def test_days_read_back_as_written(self):
        for family in families.FAMILIES:
            for day in days_of(family, self.site):
                [read] = tomllib.loads(to_toml(day, self.site))["day"]
                self.assertEqual(read["name"], day.name)
                self.assertEqual(len(read["faults"]), len(day.faults))
                self.assertEqual(len(read["plan"]), len(day.plan))

    def test_troubles_stay_within_the_day_and_its_caps(self):
        for family in families.FAMILIES:
            for day in days_of(family, self.site):
                self.assertTrue(day.faults + day.plan, day.name)
                self.assertLessEqual(len(day.faults), day.max_faults)
                self.assertLessEqual(len(day.plan), day.max_plans)
                for entry in day.faults + day.plan:
                    self.assertGreater(entry["at"], 0)
                    self.assertLessEqual(entry["at"], day.length_s - families.QUIET_END_S)

    def test_planned_work_stands_under_plan(self):
        for family in families.FAMILIES:
            for day in days_of(family, self.site):
                self.assertTrue(all(entry["kind"] in troubles.PLANNED_KINDS for entry in day.plan))
                self.assertFalse(any(entry["kind"] in troubles.PLANNED_KINDS for entry in day.faults))


class Coverage(unittest.TestCase):
    """Every kind and every variant that applies is generated."""

    def setUp(self):
        self.site = site_of(SMALL_SITE)

    def test_mix_has_every_kind_that_applies(self):
        for text, expected in ((SMALL_SITE, COMMON_KINDS), (LARGE_SITE, COMMON_KINDS | EXTRA_KINDS)):
            drawn = set()
            for day in days_of("mix", site_of(text)):
                drawn |= day.kinds()
            closing_faults = {"kill_all", "power_off_all", "wipe_after_ack"}
            self.assertEqual(drawn - closing_faults, expected)
            self.assertLessEqual(closing_faults, drawn)

    def test_mix_strikes_several_times_at_one_moment(self):
        def crowded(day):
            moments = [entry["at"] for entry in day.faults + day.plan]
            return len(moments) - len(set(moments)) >= 2

        self.assertGreater(sum(crowded(day) for day in days_of("mix", self.site)), len(DAYS) / 4)

    def test_cut_has_every_variant(self):
        days = days_of("cut", self.site)
        expected = set(" ".join(families.CORE_CUTS).split())
        self.assertLessEqual(expected, variants_of(days, "core_cut"))
        self.assertLessEqual(set(" ".join(families.NODE_CUTS).split()), variants_of(days, "node_cut"))

    def test_cut_lasts_about_twenty_seconds(self):
        for day in days_of("cut", self.site):
            longest = max(entry["for_s"] for entry in day.faults if entry["kind"] == "core_cut")
            self.assertTrue(17 <= longest <= 22, day.name)

    def test_operators_has_every_order(self):
        days = days_of("operators", self.site)
        self.assertLessEqual(
            {"ack_lost", "config_race", "config_change", "bad_config", "node_kill"}, set().union(*(day.kinds() for day in days))
        )
        self.assertEqual(set(troubles.BAD_CONFIGS), variants_of(days, "bad_config"))
        self.assertEqual(set(troubles.CONFIG_CHANGES), variants_of(days, "config_change"))

    def test_second_loss_follows_the_first(self):
        days = days_of("second-loss", self.site)
        kinds = set().union(*(day.kinds() for day in days))
        self.assertLessEqual({"replace_core", "after_ack_wipe", "roll_term", "wipe_after_ack", "power_off_all"}, kinds)
        for day in days:
            losses = [entry for entry in day.faults + day.plan if not entry["kind"].startswith("config")]
            self.assertGreaterEqual(len(losses), 2, day.name)

    def test_second_loss_has_every_closing_wipe(self):
        closings = [day.closing for day in days_of("second-loss", self.site)]
        variants = {closing.get("how") for closing in closings if closing["kind"] == "wipe_after_ack"}
        self.assertLessEqual({"oldest", "timed", "taken"}, variants)

    def test_many_changes_has_long_days_with_hundreds_of_changes(self):
        days = days_of("many-changes", self.site)
        longest = max(days, key=lambda day: day.length_s)
        changes = sum(2 * entry["count"] for entry in longest.plan if entry["kind"] == "config_race")
        self.assertEqual(longest.length_s, 600)
        self.assertGreater(changes, 300)
        short = [day for day in days if day.length_s == self.site.length_s]
        self.assertGreater(len(short), len(days) / 2)

    def test_wrong_caller_has_every_variant(self):
        days = days_of("wrong-caller", self.site)
        self.assertLessEqual(set(troubles.LATE_ORDERS), variants_of(days, "applied_late"))
        self.assertLessEqual(set(troubles.SERVER_CUTS) - {""}, variants_of(days, "srv_cut"))
        self.assertEqual({"mute", "hang", "reset"}, variants_of(days, "srv_grey"))
        self.assertEqual({"spot"}, variants_of(days, "scale_in"))
        self.assertLessEqual({"reset_conns", "node_freeze", "ack_lost"}, set().union(*(day.kinds() for day in days)))


class Driver(unittest.TestCase):
    """The verdict and the result line that play_days.py derives from a report of the bench."""

    def setUp(self):
        self.site = site_of(SMALL_SITE)
        self.day = families.Day("cut-1", seed=1, length_s=self.site.length_s)
        for kind in ("core_cut", "node_cut", "config_change"):
            self.day.add_trouble(5, {"kind": kind})
        self.report = {
            "G": 0.7,
            "served": 0.9,
            "breaks": {},
            "missed": [],
            "short": [],
            "fault": None,
            "exits_n": 0,
            "events": [{"kind": "core_cut (all)"}, {"kind": "config_change (idle)"}],
        }

    def verdict(self, **changes) -> str:
        return Outcome(self.report | changes, 0).verdict

    def test_verdicts(self):
        self.assertEqual(self.verdict(), "passed")
        self.assertEqual(self.verdict(breaks={"LOST": 1}), "BROKEN")
        self.assertEqual(self.verdict(short=["no ack"]), "BROKEN")
        self.assertEqual(self.verdict(missed=["acks"]), "BROKEN")
        self.assertEqual(self.verdict(fault="no request is served"), "BROKEN")
        self.assertEqual(Outcome(None, 1).verdict, "NOT PLAYED")

    def test_line_names_rules_and_kinds_that_were_left_out(self):
        outcome = Outcome(self.report | {"breaks": {"LOST": 1}}, 1)
        line = describe(self.day, self.site, outcome)
        self.assertIn("BROKEN", line)
        self.assertIn("LOST", line)
        self.assertIn("left out: node_cut", line)
        self.assertEqual(kinds_not_played(self.day, self.report), ["node_cut"])


if __name__ == "__main__":
    unittest.main()
