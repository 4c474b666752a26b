#!/usr/bin/env python3
"""Tells from routers' logs which requests were not served well, and why.

usage: scripts/losses.py [--objective ROUTE=MS]... LOG...

One row for each route and reason, most frequent first. A request is late if its first byte came after the route's
objective; the reason of a late one is the chain of its attempts: `first` or `next` model, how the attempt ended,
and whether its head took over twice the expected time (`slow`). `kept doubt` counts answers of the first model
whose own confidence was below 50.
"""
import argparse
import collections
import re

EVENT = re.compile(r"event=(\w+) (.*)")
FIELD = re.compile(r'(\w+)="([^"]*)"')
FINAL = {"request_answered", "request_refused", "answer_broken", "upstream_failure_passed", "caller_left"}
EVEN_CONFIDENCE = 50.0
SLOW_FACTOR = 2.0


def read(files: list) -> tuple:
    """Returns the attempts of each request in order, and its final event."""
    attempts = collections.defaultdict(list)
    finals = {}
    for file in files:
        for line in open(file, encoding="utf-8", errors="replace"):
            found = EVENT.search(line)
            if not found:
                continue
            fields = dict(FIELD.findall(found.group(2)))
            if found.group(1) == "attempt_ended":
                attempts[fields["request"]].append(fields)
            elif found.group(1) in FINAL:
                finals[fields["request"]] = {**fields, "event": found.group(1)}
    return attempts, finals


def step(attempt: dict, first_model: str) -> str:
    """Returns one attempt in words."""
    model = "first" if attempt["model"] == first_model else "next"
    expected = float(attempt.get("expected_ms") or 0)
    took = float(attempt["head_ms"]) or float(attempt["took_ms"])
    slow = " slow" if expected > 0 and took > SLOW_FACTOR * expected else ""
    return f"{model} {attempt['end']}{slow}"


def reason(attempts: list, final: dict, objective: float) -> str:
    """Returns why a request was not served well; empty: it was."""
    if final["event"] == "request_refused":
        return f"refused: {final['code']}"
    if final["event"] != "request_answered":
        return final["event"]
    if objective and float(final["first_ms"]) > objective:
        return "late: " + ", ".join(step(one, attempts[0]["model"]) for one in attempts)
    last = attempts[-1]
    doubted = 0 <= float(last["confidence"]) < EVEN_CONFIDENCE
    return "kept doubt" if doubted and last["model"] == attempts[0]["model"] else ""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--objective", action="append", default=[], help="ROUTE=MS")
    args = parser.parse_args()
    objectives = dict((route, float(ms)) for route, ms in (text.split("=") for text in args.objective))
    attempts, finals = read(args.logs)
    asked = collections.Counter()
    losses = collections.Counter()
    for request, own in attempts.items():
        route = own[0]["route"]
        asked[route] += 1
        why = reason(own, finals[request], objectives.get(route, 0.0)) if request in finals else "no end logged"
        if why:
            losses[route, why] += 1
    print("route  asked  count  reason")
    for (route, why), count in losses.most_common():
        print(f"{route}  {asked[route]}  {count}  {why}")


if __name__ == "__main__":
    main()
