#!/usr/bin/env python3
"""Plays days of a site with several seeds and prints where the worth goes, a line a day.

    tests/days/worth.py BENCH SITE DAY,DAY SEED,SEED [JOBS]

BENCH is the users' bench, SITE a site file. Run it in the checkout that is to be measured; no
processor time is charged, so that runs of the same code nearly repeat.
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
DEFAULT_JOBS = 3


def play(bench, site, day, seed, folder):
    report = Path(folder) / f"{Path(day).stem}.{seed}.json"
    command = [bench, "run", site, day, "--seed", seed, "--no-cpu", "--report", str(report)]
    subprocess.run(command, capture_output=True, check=False)
    return json.loads(report.read_text()) if report.exists() else None


def part_of(result, name):
    return next(value for part, _, value in result["parts"] if part == name)


def price_of(result, name):
    return sum(price for label, _, price in result["prices"] if name in label)


def line(day, results):
    played = [result for result in results if result]
    if not played:
        return f"{day:10} no result"
    worth = [result["G"] for result in played]
    columns = [f"{day:10} worth {statistics.mean(worth):.3f} ({min(worth):.3f} to {max(worth):.3f})"]
    for name in PARTS:
        columns.append(f"{name} {statistics.mean(part_of(r, name) for r in played):.3f}")
    for name in PRICES:
        columns.append(f"{name} {statistics.mean(price_of(r, name) for r in played):.3f}")
    for name in ["refused", "late", "failed"]:
        columns.append(f"{name} {statistics.mean(r['all'][name] for r in played):.0f}")
    broken = sorted({rule for r in played for rule in r["breaks"]})
    return "; ".join(columns + ([f"BROKEN {broken}"] if broken else []))


def main():
    bench, site, days, seeds = sys.argv[1:5]
    jobs = int(sys.argv[5]) if len(sys.argv) > 5 else DEFAULT_JOBS
    subprocess.run([bench, "build"], check=True)
    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(jobs) as pool:
        for day in days.split(","):
            plays = [pool.submit(play, bench, site, day, seed, folder) for seed in seeds.split(",")]
            print(line(Path(day).stem, [one.result() for one in plays]), flush=True)


main()
