#!/usr/bin/env python3
"""Runs scenarios of the users' bench with single mechanisms disabled.

    BENCH=path/of/bench SITES=folder scripts/ablation/run.py --out run/ablation \
        --plays "site.toml:day:1,2,3" --only pledge,waitlist --jobs 4

Results are saved in OUT/results.json, one entry per run, so that an interrupted
ablation can be resumed. The table is written to OUT/table.md.
"""

import argparse
import concurrent.futures
import json
import os
import pathlib
import re
import shutil
import statistics
import subprocess
import sys

from mechanisms import MECHANISMS


def key_of(name, site, day, seed):
    """Returns the key of a run in results.json."""
    return f"{name}/{pathlib.Path(site).stem}/{pathlib.Path(day).stem}/{seed}"


def parse_play(text):
    """Parses SITE:DAY:SEED,SEED into (site, day, seeds)."""
    site, day, seeds = text.rsplit(":", 2)
    return site, day, [int(seed) for seed in seeds.split(",")]


def switch_off(name, source, folder):
    """Clones the repository and disables one mechanism in the clone."""
    if folder.exists():
        shutil.rmtree(folder)
    subprocess.run(["git", "clone", "-q", str(source), str(folder)], check=True)
    for path, before, after in MECHANISMS[name]:
        file = folder / path
        text = file.read_text()
        if text.count(before) != 1:
            sys.exit(f"{name}: {path}: the text to switch off stands {text.count(before)} times: {before!r}")
        file.write_text(text.replace(before, after))


def play(bench, folder, site, day, seed, name):
    """Runs one scenario and returns its score and the violated invariants."""
    report = folder / f"report-{key_of(name, site, day, seed).replace('/', '-')}.json"
    command = [bench, "run", site, day, "--seed", str(seed), "--jobs", "1", "--report", str(report),
               "--why", f"trial: ablation, without {name}"]
    ended = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    if not report.exists():
        return {"worth": None, "breaks": {"not played": ended.stdout[-200:] + ended.stderr[-200:]}}
    result = json.loads(report.read_text())
    return {"worth": result["G"], "served": result["served"], "breaks": result["breaks"] or {}, "fault": result["fault"]}


def table(results, plays):
    """Returns a Markdown table of the mean (min to max, count) score by mechanism and site."""
    sites = sorted({pathlib.Path(site).stem for site, _, _ in plays})
    lines = ["| Without | " + " | ".join(sites) + " | rules broken |", "| --- " * (len(sites) + 2) + "|"]
    for name in MECHANISMS:
        cells, broken = [], []
        for site in sites:
            mine = {key: value for key, value in results.items() if key.startswith(f"{name}/{site}/")}
            worth = [value["worth"] for value in mine.values() if value["worth"] is not None]
            broken += [f"{key.split('/', 1)[1]}: {', '.join(value['breaks'])}" for key, value in mine.items() if value["breaks"]]
            if not worth:
                cells.append("not run")
                continue
            cells.append(f"{statistics.mean(worth):.4f} ({min(worth):.3f} to {max(worth):.3f}, {len(worth)})")
        if any(cell != "not run" for cell in cells):
            lines.append(f"| {name} | " + " | ".join(cells) + f" | {'; '.join(broken) or 'none'} |")
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--out", default="run/ablation")
    parser.add_argument("--plays", nargs="+", required=True, help="SITE:DAY:SEED,SEED")
    parser.add_argument("--only", default=",".join(MECHANISMS))
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    bench = os.environ.get("BENCH") or sys.exit("BENCH: must name the users' bench")
    root = pathlib.Path(__file__).resolve().parents[2]
    out = pathlib.Path(options.out).resolve()
    out.mkdir(parents=True, exist_ok=True)
    store = out / "results.json"
    results = json.loads(store.read_text()) if store.exists() else {}
    plays = [parse_play(text) for text in options.plays]
    for name in options.only.split(","):
        wanted = [(site, day, seed) for site, day, seeds in plays for seed in seeds
                  if key_of(name, site, day, seed) not in results]
        if not wanted:
            continue
        folder = out / name
        switch_off(name, root, folder)
        subprocess.run([bench, "build"], cwd=folder, check=True, capture_output=True)
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            ends = pool.map(lambda one: (one, play(bench, folder, *one, name)), wanted)
            for (site, day, seed), result in ends:
                results[key_of(name, site, day, seed)] = result
                store.write_text(json.dumps(results, indent=1))
        (out / "table.md").write_text(table(results, plays))
        print(f"{name}: done", flush=True)


if __name__ == "__main__":
    main()
