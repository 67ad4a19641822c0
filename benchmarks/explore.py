"""Look for promises broken under random faults, storm after storm.

Run as ``python -m benchmarks.explore [FIRST [COUNT]]``. Prints a JSON line for
each storm in which something did not hold, with what was done, and one for all.
``PYTHONHASHSEED`` must be set for a storm to be the same in another run.
"""

import json
import logging
import os
import sys
import time

from benchmarks.storm import Storm

COUNT = 200


def main(arguments: list[str]) -> int:
    """Run storms of consecutive seeds.

    :param arguments: the first seed, 0 by default, and how many
    :returns: exit code, 1 if something did not hold
    """
    first = int(arguments[0]) if arguments else 0
    count = int(arguments[1]) if len(arguments) > 1 else COUNT
    if os.environ.get("PYTHONHASHSEED", "random") == "random":
        print("PYTHONHASHSEED is not set: storms will not repeat", file=sys.stderr)
    logging.disable(logging.CRITICAL)
    begin = time.monotonic()
    broken = sum(not run_storm(seed) for seed in range(first, first + count))
    elapsed_s = round(time.monotonic() - begin, 1)
    print(json.dumps({"storms": count, "first": first, "broken": broken, "elapsed_s": elapsed_s}))
    return 1 if broken else 0


def run_storm(seed: int) -> bool:
    """Run one storm; print what did not hold and return whether all did."""
    storm = Storm(seed)
    try:
        violations = storm.run()
    except AssertionError as error:
        violations = [str(error)]
    finally:
        storm.stop()
    if violations:
        row = {"seed": seed, "violations": violations, "acts": storm.acts}
        print(json.dumps(row), flush=True)
    return not violations


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
