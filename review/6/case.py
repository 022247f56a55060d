"""The operator takes its keys away from the only tenant; requests with them go on being run, without a tenant."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standins  # noqa: E402

# `revoke-ms` of the site, in seconds.
REVOKE = 5.0


async def main(record, trouble, scratch, daemons):
    ips = standins.loopback_ips(4)
    platform = standins.Platform(record)
    await platform.start(ips[0])

    def configure(version, tenants):
        platform.put("config", "main", standins.configuration(version, tenants))
        record.write("the store acknowledges version %d with the keys %r" % (version, tenants))

    configure(3, {"reader": ["key-1", "key-2"]})
    replica = standins.Replica("i-0", "pool", record)
    await replica.start(ips[1])
    platform.put("servers", replica.id, replica.entry())
    for number, zone in enumerate(("hall-a", "hall-b")):
        daemons.append(standins.Daemon("edge-%s-1" % zone, zone, ips[2 + number], scratch, platform.store_address,
                                       platform.cloud_address, ips[2:4]))
    for daemon in daemons:
        daemon.start()
    if not await standins.until_ready(daemons):
        return 2

    async def ask_all(name, count):
        for number in range(count):
            daemon = daemons[number % len(daemons)]
            await standins.ask(record, daemon.front, "/fetch/page", "%s-%d" % (name, number), "key-1")
            await asyncio.sleep(0.1)

    await ask_all("before", 6)
    if len(replica.runs) != 6:
        record.write("not all requests are run before the change")
        return 2
    if trouble:
        configure(7, {})
    await asyncio.sleep(REVOKE + 1)
    before = len(replica.runs)
    await ask_all("after", 10)
    ran = [run for run in replica.runs[before:]]
    if not trouble:
        record.write("%d requests with the key are run, as they should" % len(ran))
        return 0 if len(ran) == 10 else 2
    # CONFIG, where `strict-revoke` is true: no request runs that was sent later than `revoke-ms` after the
    # acknowledgement of a configuration that removed its key.
    record.write("%d requests run that were sent over %.0f s after their key was taken away, for the tenants %r" % (
        len(ran), REVOKE, sorted({str(run["tenant"]) for run in ran})))
    return 1 if ran else 0


standins.run(HERE, main)
