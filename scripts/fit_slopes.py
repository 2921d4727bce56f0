"""Fits a straight line to each figure in the JSON lines of capacity-cluster and prints one JSON line per slope."""

import json
import math
import sys


def fit(xs, ys):
    """Least-squares line: returns the intercept, the slope and the largest absolute deviation of a point."""
    n = len(xs)
    mean_x = sum(xs) / n
    mean_y = sum(ys) / n
    sum_of_squares = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum_of_squares if sum_of_squares else 0.0
    intercept = mean_y - slope * mean_x
    max_deviation = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys))
    return intercept, slope, max_deviation


def print_slopes(rows, term, transform, target_x):
    for name in rows[0]:
        if name in ("nodes", "engines", "members_known_least"):
            continue
        xs = [transform(row) for row in rows]
        ys = [row[name] for row in rows]
        intercept, slope, max_deviation = fit(xs, ys)
        print(json.dumps({
            "slope": name, "term": term, "intercept": round(intercept, 3), "per_unit": round(slope, 4),
            "largest_deviation": round(max_deviation, 3), "at_letter_size": round(intercept + slope * target_x, 3),
        }))


def main():
    with open(sys.argv[1], encoding="utf-8") as lines:
        rows = [row for row in map(json.loads, lines) if "nodes" in row]
    base_engines = rows[0]["engines"]
    by_nodes = [row for row in rows if row["engines"] == base_engines]
    by_engines = [row for row in rows if row["nodes"] == 7]
    if len(by_nodes) > 1:
        print_slopes(by_nodes, "log2(nodes)", lambda row: math.log2(row["nodes"]), math.log2(400))
        print_slopes(by_nodes, "nodes", lambda row: row["nodes"], 400)
    if len(by_engines) > 1:
        print_slopes(by_engines, "engines per node", lambda row: row["engines"] / row["nodes"], 12000 / 400)


main()
