"""Prints a Markdown table with the median and the worst value of the measures for each profile and policy.

Reads JSON lines of the measure program from standard input.
"""

import json
import statistics
import sys


def main():
    groups = {}
    for line in sys.stdin:
        row = json.loads(line)
        groups.setdefault((row["profile"], row["policy"]), []).append(row)
    print("| profile | policy | seeds | in target, median | worst | worst account, median | micro per 1000 tokens, median "
          "| worst | recomputed of tokens, median | refused, median | failed, worst |")
    print("| --- " * 11 + "|")
    for (profile, policy), rows in sorted(groups.items()):
        def median(name):
            return statistics.median(row[name] for row in rows)
        recomputed = statistics.median(row["tokens_recomputed"] / max(row["tokens"], 1) for row in rows)
        print(f"| {profile} | {policy} | {len(rows)} | {median('in_target'):.4f} | {min(row['in_target'] for row in rows):.4f} "
              f"| {median('worst_account_in_target'):.4f} | {median('cost_micro_per_1000_tokens'):.1f} "
              f"| {max(row['cost_micro_per_1000_tokens'] for row in rows):.1f} | {recomputed:.5f} "
              f"| {median('refused'):.0f} | {max(row['failed'] for row in rows)} |")


main()
