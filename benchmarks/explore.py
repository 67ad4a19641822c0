"""Search for violated guarantees under random faults, one seed after another.

Run as ``python -m benchmarks.explore [FIRST [COUNT]]``. Prints a JSON line with violations and
acts for each seed that violated a guarantee, and a summary as the last line. A seed repeats its
run only with a fixed ``PYTHONHASHSEED``.
"""

import json
import logging
import os
import sys
import time

from benchmarks.storm import RandomFaultRun

DEFAULT_COUNT = 200


def main(arguments: list[str]) -> int:
    """Run consecutive seeds.

    :param arguments: the first seed, 0 by default, and the number of seeds
    :returns: exit code, 1 if a seed violated a guarantee
    """
    first = int(arguments[0]) if arguments else 0
    count = int(arguments[1]) if len(arguments) > 1 else DEFAULT_COUNT
    if os.environ.get("PYTHONHASHSEED", "random") == "random":
        print("PYTHONHASHSEED is not set: runs are not reproducible", file=sys.stderr)
    logging.disable(logging.CRITICAL)
    begin = time.monotonic()
    broken = sum(not run_seed(seed) for seed in range(first, first + count))
    elapsed_s = round(time.monotonic() - begin, 1)
    print(json.dumps({"storms": count, "first": first, "broken": broken, "elapsed_s": elapsed_s}))
    return 1 if broken else 0


def run_seed(seed: int) -> bool:
    """Run one seed; print its violations and return whether there were none."""
    fault_run = RandomFaultRun(seed)
    try:
        violations = fault_run.run()
    except AssertionError as error:
        violations = [str(error)]
    finally:
        fault_run.stop()
    if violations:
        row = {"seed": seed, "violations": violations, "acts": fault_run.acts}
        print(json.dumps(row), flush=True)
    return not violations


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
