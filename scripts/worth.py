#!/usr/bin/env python3
"""Plays the standard days of deployments under several seeds and prints where the worth goes.

usage: BENCH=<the users' bench> scripts/worth.py [--seeds N] [--days PREFIX] --why TEXT SITE...

Each site file is copied to a temporary folder with every day repeated under other seeds, and scored there
without processor time, so that a run repeats itself. The bench leaves one journal entry for each site. The
table has one row for each day (mean over the seeds) and the means of all troubled days: worth, the parts
that it is made of, and the prices in units of worth.
"""
import argparse
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

SEED_STEP = 104729  # A prime: seeds of one day stay apart from those of the others.
SEED_LIMIT = 200_000_000
LEAST_PRICE = 0.0005  # Units of worth; smaller prices are left out of the table.


def with_seeds(text: str, seeds: int, prefix: str) -> str:
    """Returns a site file whose days stand there once for each seed, the file's own seed first."""
    head, *days = re.split(r"(?m)^\[\[day\]\]\n", text)
    for day in days:
        name = re.search(r'(?m)^name = "([^"]+)"', day).group(1)
        if not name.startswith(prefix):
            continue
        seed = int(re.search(r"(?m)^seed = (\d+)", day).group(1))
        for index in range(seeds):
            other = seed if index == 0 else (seed * 7919 + index * SEED_STEP) % SEED_LIMIT
            copy = day.replace(f'name = "{name}"', f'name = "{name}.{index}"', 1)
            head += "[[day]]\n" + copy.replace(f"seed = {seed}", f"seed = {other}", 1)
    return head


def play(bench: str, site: Path, args) -> dict:
    """Scores one site and returns its journal entry."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / site.name
        copy.write_text(with_seeds(site.read_text(), args.seeds, args.days))
        shutil.copy(site.parent / "wire.json", folder)
        command = [bench, "score", str(copy), "--no-cpu", "--jobs", str(args.jobs), "--why", args.why]
        printed = subprocess.run(command, capture_output=True, text=True, check=False)
    found = re.findall(r"(?m)^snapshot (\w+)", printed.stdout)  # Others may be named as comparisons.
    if not found:
        sys.exit(printed.stdout + printed.stderr)
    entry = json.loads(next(Path("journal").glob(f"*-{found[-1]}.json")).read_text())
    if entry.get("error"):
        sys.exit(entry["error"])
    return entry


def mean(values) -> float:
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def row(days: list) -> str:
    """Returns the columns for some days: worth, shares, parts and prices, each a mean."""
    parts = [mean(day["parts"][index][2] for day in days) for index in range(len(days[0]["parts"]))]
    names = [name for name, *_ in days[0]["prices"]]
    prices = {name: mean(dict((p[0], p[2]) for p in day["prices"])[name] for day in days) for name in names}
    dear = sorted(((cost, name) for name, cost in prices.items() if cost >= LEAST_PRICE), reverse=True)
    columns = [f"{mean(day['G'] for day in days):.4f}"]
    columns += [f"{mean(day[key] for day in days):.3f}" for key in ("served", "refused", "failed")]
    columns += ["/".join(f"{part:.3f}" for part in parts)]
    columns += ["  ".join(f"{name.split(',')[0].split(' to ')[0][:24]} {cost:.4f}" for cost, name in dear)]
    return "  ".join(columns)


def report(entry: dict) -> None:
    """Prints the table of one site."""
    groups: dict = {}
    for day in entry["days"]:
        groups.setdefault(day["name"].split(".")[0], []).append(day)
    troubled = [day for day in entry["days"] if day["slot"] != "quiet"]
    print(f"{entry['site']}  {entry['id']}  gate {entry['figures'].get('gate')}")
    print("day  worth  served  refused  failed  whole/windows/class  prices")
    for name, days in groups.items():
        print(f"{name:10s} {row(days)}")
    if troubled:
        print(f"{'TROUBLED':10s} {row(troubled)}")
        print("by seed: " + " ".join(f"{day['name']}={day['G']:.3f}" for day in troubled))
    for day in entry["days"]:
        if day["rules"] or day["fault"] or not day["gate"]:
            print(f"NOT PASSED {day['name']}: rules {day['rules']} fault {day['fault']} short {day['short']}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("sites", nargs="+", type=Path)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--days", default="", help="only days whose names begin so")
    parser.add_argument("--jobs", type=int, default=7)
    parser.add_argument("--why", required=True)
    args = parser.parse_args()
    bench = os.environ.get("BENCH") or sys.exit("BENCH must name the users' bench")
    for site in args.sites:
        report(play(bench, site, args))


if __name__ == "__main__":
    main()
