"""A leader whose machine is cut off: the call that it made in the cut reaches the platform after its successor's."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import standins  # noqa: E402

# Length of the cut in seconds: that of `node_cut` in the site file.
CUT = 5.5
# `thaw-ms` of the site, in seconds.
THAW = 0.3


async def main(record, trouble, scratch, daemons):
    ips = standins.loopback_ips(5)
    platform = standins.Platform(record)
    await platform.start(ips[0])
    platform.put("config", "main", standins.configuration(3, {"reader": ["key-1"]}))
    replicas = [standins.Replica("i-%d" % number, "pool", record) for number in range(2)]
    for replica in replicas:
        await replica.start(ips[1])
        platform.put("servers", replica.id, replica.entry())
    links = {}
    for number, zone in enumerate(("hall-a", "hall-b", "hall-c")):
        name, ip = "edge-%s-1" % zone, ips[2 + number]
        store = standins.Link(name + " to the store", platform.store_address, record)
        cloud = standins.Link(name + " to the cloud API", platform.cloud_address, record)
        await store.start(ips[0])
        await cloud.start(ips[0])
        links[name] = (store, cloud)
        daemons.append(standins.Daemon(name, zone, ip, scratch, store.address, cloud.address, ips[2:5]))
    for daemon in daemons:
        daemon.start()
    if not await standins.until_ready(daemons):
        record.write("the daemons are not ready")
        return 2

    async def traffic():
        number = 0
        while True:
            number += 1
            daemon = daemons[number % len(daemons)]
            await standins.ask(record, daemon.front, "/sync/page", "request-%d" % number, "key-1")
            await asyncio.sleep(0.2)

    clients = asyncio.ensure_future(traffic())
    written = asyncio.Queue()

    def on_write(kind, name, written_object):
        report = written_object["spec"].get("report")
        if kind == "gateway-leases" and report:
            written.put_nowait((written_object["spec"]["holder"], report["window"]))

    # After two reports, so that the leader's connections are open.
    while sum(call["path"] == "/reports" for call in platform.calls) < 2:
        await asyncio.sleep(0.05)
    window = max(call["body"]["window"] for call in platform.calls if call["path"] == "/reports")
    platform.on_write = on_write
    holder = None
    while True:
        holder, written_window = await asyncio.wait_for(written.get(), 20)
        if written_window > window:
            break
    healed_at = None
    if trouble:
        # The daemon that last wrote to the store under a condition is cut off from the platform, as soon as its
        # write has been answered.
        await asyncio.sleep(0.03)
        record.write("%s, which wrote last, is cut off for %.1f s" % (holder, CUT))
        for link in links[holder]:
            link.cut()
        await asyncio.sleep(CUT)
        for link in links[holder]:
            link.heal()
        healed_at = record.now()
    else:
        record.write("%s wrote last" % holder)
        await asyncio.sleep(CUT)
    await asyncio.sleep(9)
    clients.cancel()
    return evaluate(record, platform.calls, holder, healed_at)


def evaluate(record, calls, cut_off, healed_at):
    """ONE, where `require-fence` is false: a token lower than one seen, but for calls that arrive within `thaw-ms` after
    their sender's link has healed."""
    highest, broken = {}, 0
    for call in calls:
        subject = "reports" if call["path"] == "/reports" else str((call["body"]["service"], call["body"]["zone"]))
        seen = highest.get(subject, 0)
        if call["fence"] < seen:
            since = call["at"] - healed_at if healed_at is not None and call["holder"] == cut_off else None
            is_excused = since is not None and 0 <= since <= THAW
            record.write("%s of %s bears token %d, though %d was seen; its link healed %s s before%s" % (
                call["path"], call["holder"], call["fence"], seen, "?" if since is None else "%.3f" % since,
                " (excused)" if is_excused else ""))
            broken += not is_excused
        highest[subject] = max(seen, call["fence"])
    record.write("%d calls of %d bear a token that is lower than one seen" % (broken, len(calls)))
    return 1 if broken else 0


standins.run(HERE, main)
