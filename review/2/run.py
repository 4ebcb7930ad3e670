"""A request that crashes its runners, after stale seeds were corrected by a new settings file."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import crashing  # noqa: E402
import fleet as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def main(fleet, record):
    await crashing.start_runners(fleet)
    if TROUBLE:
        # Three addresses at which no machine answers.
        for host in fleet.hosts:
            host.write_settings(["%s.%d" % (fleet.prefix, last) for last in (90, 91, 92)])
    fleet.start_hosts(fleet.hosts)
    await fleet.wait_ready(fleet.hosts)
    record.write("all 8 hosts are ready")
    await asyncio.sleep(2 * crashing.CONTACT_S)

    for host in fleet.hosts:
        host.write_settings([seed.address for seed in fleet.seeds])
        host.send(signal.SIGHUP)
    record.write("the settings of all hosts name 3 running seeds; each host got SIGHUP")
    await asyncio.sleep(20)
    return await crashing.play(fleet, record, fleet.hosts, 18)


standins.run(main, os.path.join(FOLDER, "record.txt"))
