#!/usr/bin/env python3
"""Plays the same days with several variants of the sources on the users' bench and compares the results in pairs.

    compare_variants.py --bench PATH/fleetbench --site SITE --days quiet-1,scale-1 --seeds 11,12,13,14 \
        --variant before=FOLDER --variant after=FOLDER --out FOLDER [--jobs 6] [--no-cpu]

A variant is a folder with a checkout of the sources that differs in one change. Each play is one call of
`fleetbench run` in that folder. The reports stay in the output folder, so that a repeated call only plays days
without a report. The first variant is the baseline: for each metric the program prints the mean of the paired
differences (same site, day and seed) with a 95 % bootstrap interval. Uses the standard library only.
"""

import argparse
import json
import random
import statistics
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

BOOTSTRAP_SAMPLES = 4000
METRICS = {
    "worth": lambda report: report["G"],
    "served": lambda report: report["served"],
    "failed": lambda report: report["failed"],
    "in_aim": lambda report: report["all"]["in_aim"] / max(1, report["all"]["n"] - report["all"]["not_owed"]),
}


@dataclass(frozen=True)
class Play:
    """One day of one site with one seed, played by one variant."""

    variant: str
    folder: Path
    site: Path
    day: str
    seed: int | None

    @property
    def name(self) -> str:
        """Returns the name of the report file without its extension."""
        seed = "standard" if self.seed is None else str(self.seed)
        return f"{self.variant}-{self.site.stem}-{Path(self.day).stem}-{seed}"

    @property
    def pair(self) -> tuple:
        """Returns the site, day and seed, which are equal in plays that are compared."""
        return (self.site.stem, Path(self.day).stem, self.seed)


def outcome_counts(report: dict, arguments: argparse.Namespace) -> str:
    """Returns a text with the outcomes of the requests in the seconds given by `--between`; empty without that option."""
    if not arguments.between:
        return ""
    first, last = (float(second) for second in arguments.between.split(","))
    windows = [window for window in report["windows"] if window["name"].isdigit() and first <= int(window["name"]) < last]
    outcomes = ("n", "in_aim", "late", "refused", "failed")
    return "  " + "  ".join(f"{outcome} {sum(window[outcome] for window in windows)}" for outcome in outcomes)


def play(planned: Play, arguments: argparse.Namespace) -> dict | None:
    """Plays a day unless its report exists. Returns the report, or None if the bench wrote none."""
    report_path = arguments.out / f"{planned.name}.json"
    if not report_path.exists():
        command = [arguments.bench, "run", str(planned.site), planned.day, "--jobs", "1", "--report", str(report_path)]
        command += ["--why", arguments.why]
        if planned.seed is not None:
            command += ["--seed", str(planned.seed)]
        if arguments.no_cpu:
            command.append("--no-cpu")
        with open(report_path.with_suffix(".txt"), "w") as output:
            subprocess.run(command, cwd=planned.folder, stdout=output, stderr=subprocess.STDOUT, check=False)
    return json.loads(report_path.read_text()) if report_path.exists() else None


def interval(differences: list[float], seed: int = 1) -> tuple[float, float]:
    """Returns the 95 % confidence interval of the mean, estimated by bootstrap resampling."""
    rng = random.Random(seed)
    means = sorted(statistics.fmean(rng.choices(differences, k=len(differences))) for _ in range(BOOTSTRAP_SAMPLES))
    return means[int(0.025 * BOOTSTRAP_SAMPLES)], means[int(0.975 * BOOTSTRAP_SAMPLES) - 1]


def compare(variant: str, reports: dict, baseline: str) -> list[str]:
    """Returns one line per metric: the means of both variants, the mean difference and its interval."""
    pairs = [pair for (name, pair) in reports if name == variant and (baseline, pair) in reports]
    lines = []
    for metric, value_of in METRICS.items():
        before = [value_of(reports[(baseline, pair)]) for pair in pairs]
        after = [value_of(reports[(variant, pair)]) for pair in pairs]
        differences = [new - old for old, new in zip(before, after, strict=True)]
        if not differences:
            continue
        low, high = interval(differences)
        lines.append(
            f"{variant:16} {metric:8} {statistics.fmean(before):.3f} -> {statistics.fmean(after):.3f}"
            f"  {statistics.fmean(differences):+.3f} [{low:+.3f}, {high:+.3f}]  pairs {len(pairs)}"
        )
    return lines


def read_arguments() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", action="append", type=Path, required=True)
    parser.add_argument("--days", required=True, help="names or day files, separated by commas")
    parser.add_argument("--seeds", default="", help="separated by commas; empty for the seed of each day")
    parser.add_argument("--variant", action="append", required=True, help="NAME=FOLDER; the first is the baseline")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--between", default="", help="FROM,TO in seconds: also print the outcomes of the requests in that time")
    parser.add_argument("--why", default="compared variants")
    return parser.parse_args()


def main() -> int:
    """Plays all days, prints a line per play and the comparison. Returns 1 if a rule was broken or a day was not played."""
    arguments = read_arguments()
    arguments.out = arguments.out.resolve()
    arguments.out.mkdir(parents=True, exist_ok=True)
    variants = dict(entry.split("=", 1) for entry in arguments.variant)
    seeds = [int(seed) for seed in arguments.seeds.split(",") if seed] or [None]
    plays = [
        Play(variant, Path(folder), site.resolve(), day, seed)
        for site in arguments.site
        for day in arguments.days.split(",")
        for seed in seeds
        for variant, folder in variants.items()
    ]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(lambda planned: play(planned, arguments), plays))
    reports = {}
    failed = False
    for planned, report in zip(plays, results, strict=True):
        if report is None:
            print(f"{planned.name}: not played")
            failed = True
            continue
        reports[(planned.variant, planned.pair)] = report
        broken = " BROKEN " + ",".join(report["breaks"]) if report["breaks"] else ""
        failed = failed or bool(broken)
        metrics = "  ".join(f"{metric} {value_of(report):.3f}" for metric, value_of in METRICS.items())
        print(f"{planned.name:60} {metrics}{outcome_counts(report, arguments)}{broken}")
    baseline = next(iter(variants))
    for variant in list(variants)[1:]:
        print("\n".join(compare(variant, reports, baseline)))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
