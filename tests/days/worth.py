#!/usr/bin/env python3
"""Plays days of a site with several seeds and prints where the worth goes, a line a day.

    tests/days/worth.py BENCH SITE DAY,DAY SEED,SEED [JOBS [SAVE [AGAINST]]]

BENCH is the users' bench, SITE a site file. Run it in the checkout that is to be measured; no
processor time is charged, so that runs of the same code nearly repeat. SAVE is a file for the
results; AGAINST is such a file of other code, whose days and seeds are compared pair by pair.
"""

import json
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

PARTS = ["whole day", "worst windows", "worst class"]
PRICES = ["servers ordered", "read again", "cloud calls", "duties missed", "refused again"]
COUNTS = ["refused", "late", "failed"]
DEFAULT_JOBS = 3


def play(bench, site, day, seed, folder):
    """The figures of one day, or none if it was not played to the end."""
    report = Path(folder) / f"{Path(day).stem}.{seed}.json"
    command = [bench, "run", site, day, "--seed", seed, "--no-cpu", "--report", str(report)]
    subprocess.run(command, capture_output=True, check=False)
    return figures_of(json.loads(report.read_text())) if report.exists() else None


def figures_of(report):
    figures = {"worth": report["G"], "broken": sorted(report["breaks"])}
    for name in PARTS:
        figures[name] = next(value for part, _, value in report["parts"] if part == name)
    for name in PRICES:
        figures[name] = sum(price for label, _, price in report["prices"] if name in label)
    for name in COUNTS:
        figures[name] = report["all"][name]
    return figures


def line(title, results):
    """One line on the results of a day, or of all days."""
    played = [result for result in results if result]
    if not played:
        return f"{title:10} no result"
    worth = [result["worth"] for result in played]
    columns = [f"{title:10} worth {statistics.mean(worth):.3f} ({min(worth):.3f} to {max(worth):.3f})"]
    for name in PARTS + PRICES:
        columns.append(f"{name} {statistics.mean(result[name] for result in played):.3f}")
    for name in COUNTS:
        columns.append(f"{name} {statistics.mean(result[name] for result in played):.0f}")
    broken = sorted({rule for result in played for rule in result["broken"]})
    return "; ".join(columns + ([f"BROKEN {broken}"] if broken else []))


def difference(results, others):
    """Mean difference of worth over the pairs that both have, with its standard error."""
    pairs = [key for key in results if results[key] and others.get(key)]
    changes = [results[key]["worth"] - others[key]["worth"] for key in pairs]
    if len(changes) < 2:
        return "no pairs to compare"
    error = statistics.stdev(changes) / len(changes) ** 0.5
    return f"against the other: {statistics.mean(changes):+.4f} +- {error:.4f} ({len(changes)} pairs)"


def main():
    bench, site, days, seeds = sys.argv[1:5]
    jobs = int(sys.argv[5]) if len(sys.argv) > 5 else DEFAULT_JOBS
    subprocess.run([bench, "build"], check=True)
    results = {}
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(jobs) as pool:
        plays = {
            (day, seed): pool.submit(play, bench, site, day, seed, folder)
            for day in days.split(",")
            for seed in seeds.split(",")
        }
        for day in days.split(","):
            played = {key: one.result() for key, one in plays.items() if key[0] == day}
            results.update({f"{Path(day).stem} {seed}": one for (_, seed), one in played.items()})
            print(line(Path(day).stem, list(played.values())), flush=True)
    print(line("all", list(results.values())))
    if len(sys.argv) > 6:
        Path(sys.argv[6]).write_text(json.dumps(results))
    if len(sys.argv) > 7:
        print(difference(results, json.loads(Path(sys.argv[7]).read_text())))


main()
