"""Kills all VMs of a fleet on loopback at once, starts them again, and counts what becomes of the requests meanwhile.

Requests are sent at a steady rate to random VMs from the kill on, without retries. Times count from the start of the
processes. A variant is NAME=DIRECTORY, as in start_cost.py.

  python3 experiments/restart_all.py --vms 12 --rate 100 before=/path/to/other/worktree after=.
"""

import argparse
import asyncio
import collections
import os
import random
import signal
import statistics
import sys
import tempfile
import time

import start_cost

ON_TIME_SECONDS = 0.3
TIMEOUT_SECONDS = 5.0


async def send(vm, number, workspaces, origin, records):
    sent = time.time()
    outcome, first = "failed", None
    try:
        host, port = vm.caller.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        key = f"key-{number % workspaces}"
        writer.write((f"GET /ask/{number} HTTP/1.1\r\nhost: h.example\r\nx-agatestream-attempt-id: r{number}\r\n"
                      f"api-key: {key}\r\nconnection: close\r\n\r\n").encode())
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS)).decode().lower()
        status = head.split(" ")[1]
        if status == "200":
            await asyncio.wait_for(reader.readuntil(b"\n\n"), TIMEOUT_SECONDS)
            first = time.time() - sent
            outcome = "on time" if first <= ON_TIME_SECONDS else "late"
        else:
            retry = [line for line in head.split("\r\n") if line.startswith("retry-after")]
            body = (await reader.read(200)).decode().split(":")[0].split("\r\n")[-1]
            outcome = f"{status} {body}" + ("" if retry else " without retry-after")
        writer.close()
    except ConnectionRefusedError:
        outcome = "not listening"
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    records.append((sent - origin, outcome, first))


async def load(fleet, rate, seconds, workspaces, origin, records):
    tasks = []
    for number in range(int(rate * seconds)):
        due = origin + number / rate
        await asyncio.sleep(max(0.0, due - time.time()))
        tasks.append(asyncio.create_task(send(random.choice(fleet), number, workspaces, origin, records)))
    await asyncio.gather(*tasks)


def measure(root, options, arguments):
    records = []
    with tempfile.TemporaryDirectory() as directory:
        store, address = start_cost.start_store(directory, arguments.servers, arguments.workspaces)
        fleet = [start_cost.Vm(i, directory, address) for i in range(arguments.vms)]
        try:
            for vm in fleet:
                vm.start(root, options)
            time.sleep(5.0)
            for vm in fleet:
                vm.process.kill()
            for vm in fleet:
                vm.process.wait()
            time.sleep(0.3)
            origin = time.time()
            for vm in fleet:
                vm.start(root, options)
            asyncio.run(load(fleet, arguments.rate, arguments.seconds, arguments.workspaces, origin, records))
            named = [line for vm in fleet for line in open(vm.log) if "event=coordinator_began" in line]
            claims = sum("event=coordinator_claimed" in line for vm in fleet for line in open(vm.log))
            began = [time_of(line) - origin for line in named]
            serving = [time_of(line) - origin for vm in fleet for line in open(vm.log) if "event=serving" in line]
            heard = [time_of(line) - origin for vm in fleet for line in open(vm.log) if "event=coordinator_heard" in line]
            if arguments.keep_log:
                os.replace(fleet[0].log, arguments.keep_log)
            return records, began, serving, heard, claims
        finally:
            for vm in fleet:
                vm.kill()
            store.kill()
            store.wait()


def time_of(line):
    stamp = line.split("time=")[1].split("Z")[0]
    whole, millis = stamp.split(".")
    import calendar
    return calendar.timegm(time.strptime(whole, "%Y-%m-%dT%H:%M:%S")) + int(millis) / 1000


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser()
    parser.add_argument("variants", nargs="+")
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--vms", type=int, default=12)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--workspaces", type=int, default=74)
    parser.add_argument("--keep-log")
    arguments = parser.parse_args()
    for _ in range(arguments.rounds):
        for variant in arguments.variants:
            name, rest = variant.split("=", 1)
            root, _, options = rest.partition(",")
            records, began, serving, heard, claims = measure(os.path.abspath(root), options.split(), arguments)
            print(f"{name}: serving {statistics.median(serving):.2f} s, coordinator began {[round(b, 2) for b in began]}, "
                  f"heard {statistics.median(heard or [0]):.2f} s, claims {claims}")
            listening = [r for r in records if r[1] != "not listening"]
            print(f"  {len(records)} sent, at listening VMs:", dict(collections.Counter(r[1] for r in listening)),
                  "not listening:", len(records) - len(listening), flush=True)


if __name__ == "__main__":
    main()
