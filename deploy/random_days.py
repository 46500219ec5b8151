#!/usr/bin/python3
"""Writes random fault scenarios ("days") for the platform's benchmark.

usage: random_days.py DIR FIRST LAST

Writes one file to DIR for each seed from FIRST to LAST.  A scenario has four to
eight faults and one to four planned operations, drawn from all kinds that the
benchmark lists with its command `kinds`; some scenarios end with the loss of all
hosts.  The same seed always gives the same file.  To run a scenario, call the
benchmark with `run SITE FILE --seed SEED`.
"""
import os
import random
import sys

LATEST_START_S = 27.0  # the traffic of a scenario lasts 34 s

# Kind of the entry, then its fields: a fixed value, a range (low, high), or a list of texts to
# choose from, where an empty text leaves the field out.
FAULT_KINDS = [
    ("burst", {"x": (1.5, 3.0), "for_s": (3, 6)}),
    ("give_up", {"share": (0.2, 0.5), "for_s": (4, 10), "how": ["", "once", "prompt"]}),
    ("srv_slow", {"share": (0.1, 0.3), "x": (4, 8), "for_s": (4, 8)}),
    ("srv_grey", {"share": (0.08, 0.2), "x": (0.5, 1.0), "for_s": (4, 8),
                  "how": ["", "errors", "shed", "busy", "hang", "reset", "mute", "slow"]}),
    ("srv_crash", {"share": (0.05, 0.2)}),
    ("srv_cut", {"share": (0.1, 0.3), "for_s": (3, 6),
                 "how": ["", "one_way", "reset", "reborn", "some", "some lossy"]}),
    ("answer_lost", {"share": (0.3, 0.7), "x": (0.03, 0.3), "for_s": (4, 7)}),
    ("applied_late", {"x": (0.05, 0.4), "for_s": (4, 8),
                      "how": ["", "orders", "cloud", "grants", "all"]}),
    ("node_kill", {"share": (0.1, 0.4), "for_s": (1, 4), "how": ["", "power"]}),
    ("node_kill", {"on": "core", "count": 1, "for_s": (1, 4),
                   "how": ["leader", "power leader", "leader race drain", "meet drain",
                           "power renewed", "giver"]}),
    ("node_freeze", {"share": (0.1, 0.4), "for_s": (1, 6)}),
    ("node_freeze", {"on": "core", "count": 1, "for_s": (1, 6), "how": ["leader", "renewed"]}),
    ("node_slow", {"share": (0.2, 0.6), "x": (4, 8), "for_s": (4, 7)}),
    ("node_cut", {"share": (0.1, 0.4), "for_s": (3, 6),
                  "how": ["", "all", "servers", "servers one_way", "servers reborn", "meet",
                          "reset revoke"]}),
    ("core_cut", {"count": 2, "for_s": (3, 6),
                  "how": ["", "leader", "leader race", "all", "one_way", "near"]}),
    ("zone_cut", {"for_s": (3, 6), "how": ["", "drop"]}),
    ("zone_loss", {}),
    ("herd_kill", {"on": "core", "share": (0.5, 1.0), "for_s": (0.5, 4),
                   "how": ["", "power", "off", "taken"]}),
    ("after_ack_kill", {"for_s": (1, 4), "how": ["", "kill", "timed", "taken"]}),
    ("platform_down", {"for_s": (2, 5), "how": ["silent", "busy", "reset", "silent lapse",
                                                "busy lapse"]}),
    ("platform_down", {"share": (0.3, 0.7), "for_s": (4, 9),
                       "how": ["nodes", "nodes busy", "nodes many", "nodes reset revoke meet",
                               "nodes leader busy", "nodes many revoke"]}),
    ("platform_slow", {"x": (20, 60), "for_s": (3, 6)}),
    ("platform_lost", {"x": (0.2, 0.6), "for_s": (3, 6), "how": ["", "late"]}),
    ("platform_compact", {"x": (3, 6), "for_s": (1, 8),
                          "how": ["", "keyed", "drain", "rewind", "rebalance"]}),
    ("poison", {"share": (0.05, 0.2), "for_s": (3, 5), "how": ["", "long"]}),
    ("clock_step", {"share": (0.2, 0.5), "x": (1000, 4000), "for_s": (3, 8),
                    "how": ["back", "ahead"]}),
    ("reset_conns", {"share": (0.1, 1.0), "x": (0.3, 1.0)}),
]
PLAN_KINDS = [
    ("release", {"share": (0.3, 0.7), "x": 1.0, "gap_s": (0.7, 1.5)}),
    ("scale_out", {"share": (0.1, 0.3), "gap_s": (1, 2)}),
    ("scale_in", {"share": (0.05, 0.15), "how": ["", "spot", "reclaim"]}),
    ("roll_term", {"share": (0.4, 1.0), "x": 1.0, "gap_s": (0.8, 1.5),
                   "how": ["", "busy", "leader", "starter"]}),
    ("add_nodes", {"share": (0.4, 1.0)}),
    ("replace_core", {"x": (1, 4), "how": ["", "leader", "planned"]}),
    ("config_change", {"how": ["route", "timeout", "tenant", "idle"]}),
    ("revoke", {"count": 2, "gap_s": (0.3, 1.5), "how": ["", "last"]}),
    ("evacuate", {"for_s": (5, 12), "how": ["", "warm"]}),
    ("hup", {"share": (0.3, 1.0), "gap_s": (0.5, 1.5)}),
]
CLOSINGS = [
    "", "",
    'closing = { kind = "power_off_all", down_s = 1.0, how = "taken" }\n',
    'closing = { kind = "kill_all", down_s = 1.2 }\n',
    'closing = { kind = "power_off_all", down_s = 1.5, how = "timed" }\n',
]


def toml_field(rng, name, value):
    """Returns `name = value`, drawn at random from a range or list; None for an empty text."""
    if isinstance(value, tuple):
        return f"{name} = {rng.uniform(*value):.3f}"
    if isinstance(value, list):
        value = rng.choice(value)
    if value == "":
        return None
    return f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}"


def random_entry(rng, kinds):
    kind, fields = rng.choice(kinds)
    parts = [f"at = {rng.uniform(1, LATEST_START_S):.2f}", f'kind = "{kind}"']
    parts += [toml_field(rng, name, value) for name, value in fields.items()]
    return "  { " + ", ".join(part for part in parts if part) + " },\n"


def random_scenario(seed):
    rng = random.Random(seed)
    faults = "".join(random_entry(rng, FAULT_KINDS) for _ in range(rng.randint(4, 8)))
    plan = "".join(random_entry(rng, PLAN_KINDS) for _ in range(rng.randint(1, 4)))
    closing = rng.choice(CLOSINGS)
    return f'name = "random-{seed}"\n{closing}plan = [\n{plan}]\nfaults = [\n{faults}]\n'


def main():
    directory, first, last = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    for seed in range(first, last + 1):
        with open(os.path.join(directory, f"random-{seed}.toml"), "w", encoding="utf-8") as file:
            file.write(random_scenario(seed))


if __name__ == "__main__":
    if len(sys.argv) != 4:
        sys.exit(__doc__.split("\n\n")[1])
    main()
