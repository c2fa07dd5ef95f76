"""A request that crashes its servers is never held back while load is low."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import bad_request  # noqa: E402
import standin  # noqa: E402


async def case(record, rig, trouble):
    """Returns whether the bad request reached servers too often."""
    return await bad_request.play(
        record,
        rig,
        trouble,
        daemons=4,
        per_second=20,
        pause_s=2.0,
        end_s=45.0,
    )


if __name__ == "__main__":
    standin.run(case, HERE)
