#!/usr/bin/env python3
"""Plays generated days on the users' bench, one after another, and reports the result of each.

    play_days.py SITE --family cut --from 1 --to 20 --seed 7 --out FOLDER --bench PATH/fleetbench

Must be started at the root of the repository, as the bench requires. Prints one line per day. FOLDER keeps
the file, the report and the output of each day; a day with a broken rule or a failed gate is played again
with the logs of all machines. Exits with 1 if a rule was broken or a gate failed, else with 2 if the bench
did not play a day.
"""

import argparse
import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from families import Day, make_day
from make_days import add_day_arguments, write_day
from site_file import Site, read_site

BROKEN = 1
NOT_PLAYED = 2


@dataclass(frozen=True)
class Outcome:
    """The result of one day; `report` is None if the bench did not play the day to its end."""

    report: dict | None
    exit_code: int

    @property
    def broken_rules(self) -> dict:
        """Returns how often each rule was broken."""
        return self.report["breaks"] if self.report else {}

    @property
    def failed_gates(self) -> list:
        """Returns the failed gates, including a fault that makes the day count as nothing."""
        if not self.report:
            return []
        fault = [self.report["fault"]] if self.report["fault"] else []
        return self.report["missed"] + self.report["short"] + fault

    @property
    def verdict(self) -> str:
        """Returns the verdict on the day as it is printed."""
        if not self.report:
            return "NOT PLAYED"
        return "BROKEN" if self.broken_rules or self.failed_gates else "passed"


def play(bench: str, site_path: str, day_path: Path, jobs: int, *more: str) -> Outcome:
    """Plays one day and writes its report and output next to the day file."""
    report_path = day_path.with_suffix(".json")
    report_path.unlink(missing_ok=True)
    command = [bench, "run", site_path, str(day_path), "--jobs", str(jobs), "--report", str(report_path), *more]
    with open(day_path.with_suffix(".txt"), "w") as output:
        exit_code = subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, check=False).returncode
    report = json.loads(report_path.read_text()) if report_path.exists() else None
    return Outcome(report, exit_code)


def kinds_not_played(day: Day, report: dict) -> list[str]:
    """Returns the kinds in the day that the bench did not play, because they don't apply or were delayed until the end of the day."""
    played = {event["kind"].partition(" ")[0] for event in report["events"]}
    drawn = {entry["kind"] for entry in day.faults + day.plan}
    return sorted(drawn - played)


def describe(day: Day, site: Site, outcome: Outcome) -> str:
    """Returns the result line of a day."""
    parts = [f"{site.name:22} {day.name:16} {outcome.verdict:10}"]
    if not outcome.report:
        return f"{parts[0]}; exit code {outcome.exit_code}"
    drawn = len(day.faults) + len(day.plan)
    parts.append(f"worth {outcome.report['G']:.3f} served {outcome.report['served']:.3f}")
    parts.append(f"{drawn} troubles")
    not_played = kinds_not_played(day, outcome.report)
    if not_played:
        parts.append("left out: " + ", ".join(not_played))
    if outcome.report["exits_n"]:
        parts.append(f"{outcome.report['exits_n']} exits of its own")
    if outcome.broken_rules:
        parts.append("rules: " + json.dumps(outcome.broken_rules))
    if outcome.failed_gates:
        parts.append("gates: " + json.dumps(outcome.failed_gates))
    return "; ".join(parts)


def play_all(arguments: argparse.Namespace) -> int:
    """Plays the days one after another and returns the exit code of the program."""
    site = read_site(arguments.site)
    result = 0
    for number in range(arguments.first, arguments.last + 1):
        day = make_day(arguments.family, site, arguments.seed, number)
        day_path = write_day(day, site, arguments.out)
        reason = f"day {day.name} of our own, seed {arguments.seed}"
        log_options = ("--log", "all") if arguments.logs else ()
        outcome = play(arguments.bench, arguments.site, day_path, arguments.jobs, "--why", reason, *log_options)
        print(describe(day, site, outcome), flush=True)
        if outcome.verdict == "BROKEN":
            result = BROKEN
            _replay_with_logs(arguments, day_path)
        elif outcome.verdict == "NOT PLAYED":
            result = result or NOT_PLAYED
    return result


def _replay_with_logs(arguments: argparse.Namespace, day_path: Path) -> None:
    replay_path = day_path.with_name(day_path.stem + "-again.toml")
    replay_path.write_text(day_path.read_text())
    """A fault may not occur again: the bench measures CPU time, so two plays of a day differ slightly."""
    reason = f"day {day_path.stem} once more, with logs"
    outcome = play(arguments.bench, arguments.site, replay_path, arguments.jobs, "--why", reason, "--log", "all")
    print(f"  once more with logs: {outcome.verdict} {json.dumps(outcome.broken_rules)}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    add_day_arguments(parser)
    parser.add_argument("--bench", required=True, help="path of the bench program")
    parser.add_argument("--jobs", type=int, default=3, help="number of cores that the bench may use")
    parser.add_argument("--logs", action="store_true", help="also keep the logs of all machines at the first play")
    return play_all(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
