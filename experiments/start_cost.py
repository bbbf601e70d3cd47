"""Measures the processor time of VMs as real processes on loopback, beside the stand-in of the platform's store.

Each round starts one fleet for each variant, so that variants share the state of the machine. A variant is
NAME=DIRECTORY, a directory of the repository whose command line is the one of its deploy/system.toml.

  python3 experiments/start_cost.py --rounds 5 --vms 1 before=/path/to/other/worktree after=.
"""

import argparse
import itertools
import json
import os
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START_TIMEOUT_SECONDS = 20.0
TICK_SECONDS = 1.0 / os.sysconf("SC_CLK_TCK")


# Below the range of local ports of connections, one of which could otherwise take a port before its VM listens.
PORTS = itertools.count(20_000 + os.getpid() % 1_000 * 10)


def free_port():
    for port in PORTS:
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def start_store(directory, servers, workspaces):
    log = open(os.path.join(directory, "store.log"), "w+")
    process = subprocess.Popen(
        ["java", "-XX:+UseSerialGC", "-Xmx192m", "-jar", ROOT + "/standins/target/agatestream-standins.jar",
         "row-store", "--servers", str(servers), "--workspaces", str(workspaces)],
        stdout=log, stderr=subprocess.STDOUT)
    while True:
        found = re.search(r"ready port=(\d+)", open(log.name).read())
        if found:
            return process, f"127.0.0.1:{found.group(1)}"
        time.sleep(0.05)


class Vm:
    def __init__(self, number, directory, store):
        self.directory, self.number = directory, number
        self.caller, self.ready, self.metrics = (f"127.0.0.1:{free_port()}" for _ in range(3))
        self.settings = {
            "name": f"vm-{number}", "failureDomain": f"d{number % 2 + 1}", "callerAddress": self.caller,
            "entryAddress": f"127.0.0.1:{free_port()}", "readyAddress": self.ready,
            "peerAddress": f"127.0.0.1:{free_port()}", "metricsAddress": self.metrics, "seedPeers": [],
            "storeAddress": store, "rowBytes": 65536, "shutdownGraceSeconds": 8.0, "entryTtlMaxSeconds": 5.0,
            "resultsKeptSeconds": 120.0}
        self.file = os.path.join(directory, f"vm-{number}.json")
        self.starts = 0

    def start(self, root, options):
        with open(self.file, "w") as f:
            json.dump(self.settings, f)
        run = tomllib.load(open(root + "/deploy/system.toml", "rb"))["roles"]["vm"]["run"].split()
        self.log = os.path.join(self.directory, f"vm-{self.number}-{self.starts}.log")
        self.starts += 1
        env = dict(os.environ, AGATESTREAM_FLEET_SECRET="experiment", AGATESTREAM_SETTINGS=self.file)
        self.started_at = time.time()
        self.process = subprocess.Popen([run[0]] + options + run[1:], cwd=root, env=env,
                                        stdout=open(self.log, "w"), stderr=subprocess.STDOUT)

    def is_serving(self):
        return "event=serving" in open(self.log).read()

    def cpu(self):
        fields = open(f"/proc/{self.process.pid}/stat").read().rsplit(")", 1)[1].split()
        return int(fields[11]) * TICK_SECONDS, int(fields[12]) * TICK_SECONDS

    def status(self, *names):
        text = open(f"/proc/{self.process.pid}/status").read()
        return [int(re.search(rf"^{name}:\s+(\d+)", text, re.M).group(1)) for name in names]

    def switches(self):
        total = 0
        for task in os.listdir(f"/proc/{self.process.pid}/task"):
            text = open(f"/proc/{self.process.pid}/task/{task}/status").read()
            total += sum(int(n) for n in re.findall(r"ctxt_switches:\s+(\d+)", text))
        return total

    def kill(self):
        self.process.kill()
        self.process.wait()


def measure(root, vms, seconds, options, servers, workspaces):
    """Returns per VM: seconds to serving (wall), processor time to serving, after the calm seconds, and more."""
    with tempfile.TemporaryDirectory() as directory:
        store, address = start_store(directory, servers, workspaces)
        fleet = [Vm(i, directory, address) for i in range(vms)]
        try:
            for vm in fleet:
                vm.start(root, options)
            serving = {}
            deadline = time.time() + START_TIMEOUT_SECONDS
            while len(serving) < vms:
                if time.time() > deadline:
                    raise RuntimeError("a VM does not serve: " + open(fleet[-1].log).read()[-2000:])
                for vm in fleet:
                    if vm not in serving and vm.is_serving():
                        serving[vm] = (time.time() - vm.started_at, sum(vm.cpu()))
                time.sleep(0.005)
            time.sleep(2.0)
            settled = [(sum(vm.cpu()), vm.switches()) for vm in fleet]
            time.sleep(seconds - 2.0)
            result = []
            for vm, (cpu, switches) in zip(fleet, settled):
                user, system = vm.cpu()
                peak, threads = vm.status("VmHWM", "Threads")
                calm = seconds - 2.0
                result.append((serving[vm][0], serving[vm][1], cpu, user + system, user, system,
                               (user + system - cpu) / calm * 1000, (vm.switches() - switches) / calm,
                               peak / 1024, threads))
            return result
        finally:
            for vm in fleet:
                vm.kill()
            store.kill()
            store.wait()


COLUMNS = ("serving wall s", "cpu to serving s", "cpu +2 s", "cpu +15 s", "user", "system", "calm ms/s",
           "calm switches/s", "peak MB", "threads")


def print_medians(results):
    print("medians | " + " | ".join(COLUMNS))
    for name, rows in results.items():
        medians = " | ".join(f"{statistics.median(column):.3f}" for column in zip(*rows))
        print(f"{name} (n={len(rows)}) | {medians}", flush=True)


def main():
    # An exception ends the processes that were started; the default action of the signal does not.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser()
    parser.add_argument("variants", nargs="+")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--vms", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--servers", type=int, default=40)
    parser.add_argument("--workspaces", type=int, default=74)
    arguments = parser.parse_args()
    variants = {}
    for variant in arguments.variants:
        name, rest = variant.split("=", 1)
        root, _, options = rest.partition(",")
        variants[name] = (os.path.abspath(root), options.split())
    results = {name: [] for name in variants}
    for _ in range(arguments.rounds):
        for name, (root, options) in variants.items():
            results[name] += measure(root, arguments.vms, arguments.seconds, options, arguments.servers,
                                     arguments.workspaces)
        print_medians(results)


if __name__ == "__main__":
    main()
