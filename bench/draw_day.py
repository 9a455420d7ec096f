"""Draws a day of troubles for ``fleetbench run``: pairs of any two kinds at the same moment.

Usage: ``python bench/draw_day.py SEED > day.toml``. The same seed gives the same day. The kinds are
those that ``fleetbench kinds`` lists, also the ones that the standard days of our sites lack.
"""

import sys
from random import Random

PAIRS = 4
FIRST_AT_S = 1.0
BETWEEN_PAIRS_S = 8.0

PLANNED_WORK = (
    'kind = "config_change", how = "route"',
    'kind = "config_change", how = "weights"',
    'kind = "config_change", how = "timeout"',
    'kind = "config_change", how = "quota down"',
    'kind = "config_change", how = "idle"',
    'kind = "release", share = 0.4, x = 1.0, gap_s = 1.0',
    'kind = "scale_in", share = 0.15',
    'kind = "scale_in", share = 0.2, how = "spot"',
    'kind = "scale_in", share = 0.2, how = "reclaim", for_s = 5.0',
    'kind = "scale_out", share = 0.3, gap_s = 2.0',
    'kind = "roll_term", share = 0.4, gap_s = 1.2, how = "busy"',
    'kind = "roll_term", share = 0.4, x = 2.0, gap_s = 1.5',
    'kind = "add_nodes", count = 2',
    'kind = "hup", share = 0.5, gap_s = 1.0',
)
FAULTS = (
    'kind = "burst", x = 1.8, for_s = 4.0',
    'kind = "srv_crash", share = 0.2, for_s = 4.0',
    'kind = "srv_crash", share = 0.2, for_s = 4.0, how = "dark"',
    'kind = "srv_crash", share = 0.15, how = "gone"',
    'kind = "srv_slow", share = 0.2, x = 6.0, for_s = 5.0',
    'kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0, how = "reset"',
    'kind = "garble", share = 0.5, x = 0.04, for_s = 5.0, how = "extra late"',
    'kind = "garble", share = 0.5, x = 0.04, for_s = 5.0, how = "unframed"',
    'kind = "garble", share = 0.5, x = 0.1, for_s = 5.0, how = "early"',
    'kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"',
    'kind = "node_kill", on = "core", count = 2, how = "leader race drain"',
    'kind = "node_freeze", share = 0.3, for_s = 5.0',
    'kind = "node_slow", share = 0.3, x = 6.0, for_s = 5.0',
    'kind = "after_ack_kill", for_s = 3.0, how = "taken"',
    'kind = "after_ack_kill", for_s = 3.0, how = "timed"',
    'kind = "reset_conns", share = 0.5, x = 0.6',
    'kind = "core_cut", count = 3, for_s = 5.0, how = "leader refuse"',
    'kind = "core_cut", count = 3, for_s = 5.0, how = "reader all"',
    'kind = "core_cut", count = 2, for_s = 5.0, how = "near one_way"',
    'kind = "platform_down", for_s = 4.0, how = "silent lapse"',
    'kind = "platform_down", for_s = 5.0, how = "nodes busy", share = 0.4',
    'kind = "platform_down", for_s = 5.0, how = "nodes many", share = 0.4',
    'kind = "platform_down", for_s = 5.0, how = "nodes reset leader", share = 0.4',
    'kind = "platform_down", for_s = 5.0, how = "tables", share = 0.5',
    'kind = "platform_slow", x = 60.0, for_s = 4.0',
    'kind = "platform_lost", x = 0.4, for_s = 5.0, how = "late"',
    'kind = "platform_compact", x = 5.0, for_s = 9.0, how = "drain"',
    'kind = "poison", share = 0.1, for_s = 4.0',
    'kind = "give_up", share = 0.3, x = 120.0, for_s = 5.0',
    'kind = "srv_grey", share = 0.3, x = 0.4, for_s = 5.0, how = "errors"',
    'kind = "srv_grey", share = 0.3, x = 0.4, for_s = 5.0, how = "shed"',
    'kind = "srv_grey", share = 0.3, x = 0.4, for_s = 5.0, how = "hang"',
    'kind = "srv_grey", share = 0.3, x = 0.4, for_s = 5.0, how = "mute"',
    'kind = "srv_grey", share = 0.3, x = 0.4, for_s = 5.0, how = "busy one_zone"',
    'kind = "srv_cut", share = 0.3, for_s = 4.0, how = "some one_way"',
    'kind = "srv_cut", share = 0.3, for_s = 4.0, how = "fronts"',
    'kind = "replace_with_reuse", share = 0.2, how = "dark"',
    'kind = "replace_with_reuse", share = 0.2, how = "drain"',
    'kind = "herd_kill", share = 0.6, how = "power", for_s = 2.0',
    'kind = "clock_step", share = 0.4, x = 3000.0, for_s = 5.0, how = "back"',
    'kind = "node_cut", share = 0.2, for_s = 4.0, how = "all"',
    'kind = "lossy", share = 0.3, x = 0.05, for_s = 5.0',
)


def draw_day(seed: int) -> str:
    """Return a day as TOML: ``PAIRS`` pairs of troubles, the two of a pair at the same moment."""
    random = Random(seed)
    entries: dict[str, list[str]] = {"plan": [], "faults": []}
    for pair in range(PAIRS):
        at = round(FIRST_AT_S + pair * BETWEEN_PAIRS_S + 3 * random.random(), 2)
        for _ in range(2):
            trouble = random.choice(PLANNED_WORK + FAULTS)
            group = "plan" if trouble in PLANNED_WORK else "faults"
            entries[group].append(f"  {{ at = {at}, {trouble} }},")
    lines = [f'name = "pairs-{seed}"', 'slot = "trouble"', f"seed = {seed}"]
    if random.random() < 0.5:
        lines.append('closing = { kind = "power_off_all", down_s = 1.2, how = "all taken" }')
    for group, troubles in entries.items():
        lines += [f"{group} = [", *troubles, "]"]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(draw_day(int(sys.argv[1])), end="")
