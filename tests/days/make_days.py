#!/usr/bin/env python3
"""Writes random days for the users' bench, generated from a site file and a seed.

    make_days.py SITE --family cut --from 1 --to 20 --seed 7 --out FOLDER

writes FOLDER/SITE-NAME-cut-1.toml and so on, one day per file. The same arguments give the same days.
"""

import argparse
from pathlib import Path

from families import FAMILIES, Day, make_day
from site_file import Site, read_site


def to_toml(day: Day, site: Site) -> str:
    """Returns the day as a `[[day]]` table of a site file."""
    lines = ["[[day]]", f'name = "{day.name}"', 'slot = "trouble"', f"seed = {day.seed}"]
    if day.length_s != site.length_s:
        lines.append(f"length_s = {day.length_s}")
    if day.closing:
        lines.append(f"closing = {_inline_table(day.closing)}")
    lines += _entries("plan", day.plan)
    lines += _entries("faults", day.faults)
    return "\n".join(lines) + "\n"


def _entries(name: str, entries: list) -> list[str]:
    return [f"{name} = ["] + [f"  {_inline_table(entry)}," for entry in entries] + ["]"]


def _inline_table(fields: dict) -> str:
    # Fields with an empty text mean the same as absent ones.
    parts = [f"{key} = {_value(value)}" for key, value in fields.items() if value != ""]
    return "{ " + ", ".join(parts) + " }"


def _value(value) -> str:
    return f'"{value}"' if isinstance(value, str) else repr(value)


def write_day(day: Day, site: Site, folder: Path) -> Path:
    """Writes a day file and returns its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{site.name}-{day.name}.toml"
    path.write_text(to_toml(day, site))
    return path


def add_day_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments that select the days."""
    parser.add_argument("site", help="site file of the bench")
    parser.add_argument("--family", choices=sorted(FAMILIES), required=True)
    parser.add_argument("--from", dest="first", type=int, default=1, help="number of the first day")
    parser.add_argument("--to", dest="last", type=int, default=10, help="number of the last day")
    parser.add_argument("--seed", type=int, default=1, help="seed of all random choices")
    parser.add_argument("--out", type=Path, required=True, help="folder for the day files")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    add_day_arguments(parser)
    arguments = parser.parse_args()
    site = read_site(arguments.site)
    for number in range(arguments.first, arguments.last + 1):
        day = make_day(arguments.family, site, arguments.seed, number)
        print(write_day(day, site, arguments.out))


if __name__ == "__main__":
    main()
