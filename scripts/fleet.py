"""Starts a fleet on loopback: the log stand-in, backend stand-ins, routers.
Shared by scripts/demo, scripts/measure-losses and scripts/run-scenario.

BALSAMHALL_BIN is the folder of the binaries; BALSAMHALL_BASE_PORT is the first
port to use, instead of a random free range."""
import http.client
import json
import os
import random
import socket
import subprocess
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.environ.get("BALSAMHALL_BIN", os.path.join(ROOT, "build", "bin"))
HOST = "127.0.0.1"
KEY = "demo-operator-key"
ZONES = [("saskatchewan-1", "saskatchewan"), ("saskatchewan-2", "saskatchewan"),
         ("alberta-1", "alberta"), ("alberta-2", "alberta")]
ROUTERS, LOOKUPS, TRANSFERS = 8, 12, 8
LOSS_TARGET_S = 2.0


def is_free(first, count):
    held = []
    try:
        for port in range(first, first + count):
            held.append(socket.socket())
            # Ports of an earlier run may be in TIME_WAIT.
            held[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held[-1].bind((HOST, port))
        return True
    except OSError:
        return False
    finally:
        for item in held:
            item.close()


def free_range(count):
    """Returns the first port of a range in which every port is free now."""
    fixed = os.environ.get("BALSAMHALL_BASE_PORT")
    if fixed:
        if not is_free(int(fixed), count):
            sys.exit(f"ports {fixed} to {int(fixed) + count - 1} are not free")
        return int(fixed)
    for _ in range(100):
        first = random.randrange(20000, 32000 - count)
        if is_free(first, count):
            return first
    sys.exit("no free range of ports")


class Fleet:
    BACKENDS = LOOKUPS + TRANSFERS

    def __init__(self, directory):
        self.directory = directory
        self.processes = {}
        first = free_range(1 + self.BACKENDS + 4 * ROUTERS)
        self.log = first
        self.lookup = first + 1
        self.transfer = self.lookup + LOOKUPS
        self.routers = self.lookup + self.BACKENDS
        vms = [self.vm(f"router-{i + 1}", "router", i, self.caller(i))
               for i in range(ROUTERS)]
        vms += [self.vm(e["name"], "backend", i, int(e["address"].split(":")[1]))
                for s in self.config()["services"]
                for i, e in enumerate(s["endpoints"])]
        self.write("vms.json", {"vms": vms})
        self.write("config.json", self.config())

    def caller(self, i):
        return self.routers + 4 * i

    def control(self, i):
        return self.routers + 4 * i + 3

    @staticmethod
    def vm(name, role, i, port):
        zone, region = ZONES[i % 4]
        return {"id": name, "role": role, "data_centre": zone, "region": region,
                "address": f"{HOST}:{port}", "state": "live"}

    @staticmethod
    def endpoints(name, first, count):
        return [{"name": f"{name}-{i + 1}", "data_centre": ZONES[i % 4][0],
                 "region": ZONES[i % 4][1], "address": f"{HOST}:{first + i}",
                 "slots": 2, "connections": 100, "checks_fences": True}
                for i in range(count)]

    def config(self):
        """The services of Examples/association.json that the demo runs, with
        addresses on free ports."""
        with open(os.path.join(ROOT, "Examples", "association.json")) as file:
            policy = json.load(file).get("policy")
        config = {
            "customer": "Prairie Asset Registry Association",
            "services": [
                {"name": "lookup", "keyed": True, "partitions": 1024,
                 "endpoints": self.endpoints("lookup", self.lookup, LOOKUPS),
                 "kinds": [{"name": "lookup", "rank": "RANK_URGENT",
                            "target_ms": 50, "deadline_ms": 1000,
                            "idempotent": True}]},
                {"name": "transfer", "keyed": False, "partitions": 1024,
                 "endpoints": self.endpoints("transfer", self.transfer,
                                             TRANSFERS),
                 "kinds": [{"name": "transfer", "rank": "RANK_NORMAL",
                            "target_ms": 100, "deadline_ms": 1000,
                            "idempotent": False},
                           {"name": "history", "rank": "RANK_BACKGROUND",
                            "target_ms": 500, "deadline_ms": 1000,
                            "idempotent": True}]}]}
        if policy:
            config["policy"] = policy
        return config

    def write(self, name, value):
        path = os.path.join(self.directory, name)
        with open(path, "w") as file:
            json.dump(value, file)
        return path

    def start(self, name, *arguments):
        log = open(os.path.join(self.directory, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [os.path.join(BIN, arguments[0]), *arguments[1:]],
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=log)

    def start_all(self):
        self.start("log", "log-stand-in", "--address", f"{HOST}:{self.log}",
                   "--vms", os.path.join(self.directory, "vms.json"))
        # The last lookup endpoint has a process of its own, to be killed.
        self.start("lookups", "backend-stand-in", "--address",
                   f"{HOST}:{self.lookup}", "--name", "lookup", "--count",
                   str(LOOKUPS - 1), "--service-ms", "3")
        self.start("victim", "backend-stand-in", "--address",
                   f"{HOST}:{self.lookup + LOOKUPS - 1}", "--name", "lookup",
                   "--count", "1", "--first", str(LOOKUPS), "--service-ms", "3")
        self.start("transfers", "backend-stand-in", "--address",
                   f"{HOST}:{self.transfer}", "--name", "transfer", "--count",
                   str(TRANSFERS), "--service-ms", "5")
        for i in range(ROUTERS):
            self.start_router(i)

    def start_router(self, i):
        settings = {
            "id": f"router-{i + 1}", "data_centre": ZONES[i % 4][0],
            "region": ZONES[i % 4][1],
            "caller_address": f"{HOST}:{self.caller(i)}",
            "peer_address": f"{HOST}:{self.caller(i) + 1}",
            "forward_address": f"{HOST}:{self.caller(i) + 2}",
            "control_address": f"{HOST}:{self.control(i)}",
            "log_address": f"{HOST}:{self.log}",
            "vm_list_address": f"{HOST}:{self.log}",
            "traffic_threads": 1, "operator_key": KEY}
        self.start(f"router-{i + 1}", "balsamhall-router", "--settings",
                   self.write(f"router-{i + 1}.json", settings))

    def stop(self):
        """Ends the processes that this script started, by id."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def publish(self):
        command = [os.path.join(BIN, "balsamhall-publish"),
                   os.path.join(self.directory, "config.json"), "--based-on",
                   "0", "--author", "demo"]
        for i in range(ROUTERS):
            command += ["--router", f"{HOST}:{self.control(i)}"]
        subprocess.run(command, check=True, stdin=subprocess.DEVNULL,
                       env={**os.environ, "BALSAMHALL_OPERATOR_KEY": KEY})

    def owner(self, service, key, router=0):
        body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": "explain_key",
                           "params": {"service": service, "key": key}})
        connection = http.client.HTTPConnection(HOST, self.control(router),
                                                timeout=5)
        connection.request("POST", "/rpc", body)
        reply = json.loads(connection.getresponse().read())
        connection.close()
        view = json.loads(reply["result"])["owner"]["view"]
        return view["endpoint"], view.get("primary", {}).get("id", "")

    def key_of(self, service, matches):
        for i in range(5000):
            key = f"probe-{i}"
            if matches(*self.owner(service, key)):
                return key
        sys.exit(f"no key of {service} for the probe")

    def scenario(self):
        """The load goes to all routers but the one that will be killed."""
        with open(os.path.join(ROOT, "Examples", "demo-load.json")) as file:
            scenario = json.load(file)
        scenario["routers"] = [f"{HOST}:{self.caller(i)}"
                               for i in range(ROUTERS - 1)]
        return self.write("load-scenario.json", scenario)

    def log_fault(self, **fault):
        self.fault(self.log, **fault)

    @staticmethod
    def fault(port, **fault):
        connection = http.client.HTTPConnection(HOST, port, timeout=5)
        connection.request("PUT", "/fault", json.dumps(fault))
        connection.getresponse().read()
        connection.close()

    def moved(self):
        count = 0
        for name in self.processes:
            if name.startswith("router-"):
                path = os.path.join(self.directory, name + ".log")
                with open(path) as file:
                    count += sum("event=partition_moved" in line
                                 for line in file)
        return count


class AssociationFleet(Fleet):
    """All services of Examples/association.json, on the ports of this fleet.
    Each lookup endpoint has a process of its own, to be killed or frozen."""
    BACKENDS = 37
    SERVICE_MS = {"lookup": 3, "transfer": 20, "disposal": 20, "archive": 50}

    def config(self):
        with open(os.path.join(ROOT, "Examples", "association.json")) as file:
            config = json.load(file)
        port = self.lookup
        for service in config["services"]:
            for endpoint in service["endpoints"]:
                endpoint["address"] = f"{HOST}:{port}"
                port += 1
            if service["name"] == "transfer":
                # The example has one kind per service; floods of one rank need
                # other ranks at the same endpoints.
                service["kinds"] += [
                    {"name": "statement", "rank": "RANK_NORMAL",
                     "target_ms": 250, "deadline_ms": 1000, "idempotent": True},
                    {"name": "history", "rank": "RANK_BACKGROUND",
                     "target_ms": 500, "deadline_ms": 1000, "idempotent": True}]
        return config

    def start_lookup(self, i):
        self.start(f"lookup-{i + 1}", "backend-stand-in", "--address",
                   f"{HOST}:{self.lookup + i}", "--name", "lookup", "--first",
                   str(i + 1), "--count", "1", "--slots", "2", "--service-ms",
                   str(self.SERVICE_MS["lookup"]))

    def start_all(self):
        self.start("log", "log-stand-in", "--address", f"{HOST}:{self.log}",
                   "--vms", os.path.join(self.directory, "vms.json"))
        for i in range(LOOKUPS):
            self.start_lookup(i)
        port = self.lookup + LOOKUPS
        for service in self.config()["services"][1:]:
            count = len(service["endpoints"])
            self.start(service["name"], "backend-stand-in", "--address",
                       f"{HOST}:{port}", "--name", service["name"], "--count",
                       str(count), "--slots", "2", "--service-ms",
                       str(self.SERVICE_MS[service["name"]]))
            port += count
        for i in range(ROUTERS):
            self.start_router(i)

    def wait_ready(self, i, seconds=15):
        """Returns whether router i became ready in that time."""
        end = time.time() + seconds
        while time.time() < end:
            try:
                connection = http.client.HTTPConnection(
                    HOST, self.control(i), timeout=1)
                connection.request("GET", "/ready")
                status = connection.getresponse().status
                connection.close()
                if status == 200:
                    return True
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)
        return False


class Probe(threading.Thread):
    """Sends lookups of one key and finds the longest time without an answer."""

    def __init__(self, port, path):
        super().__init__(daemon=True)
        self.port, self.path = port, path
        self.served, self.stopping, self.event = [], False, None

    def run(self):
        number = 0
        while not self.stopping:
            number += 1
            sent = time.time()
            connection = http.client.HTTPConnection(HOST, self.port, timeout=1)
            try:
                connection.request("POST", self.path, b"probe", {
                    "Balsamhall-Request-Id": f"{self.path[4:]}-{number}",
                    "Balsamhall-First-Issued": str(int(sent * 1000)),
                    "Balsamhall-Deadline-Ms": "300"})
                reply = connection.getresponse()
                reply.read()
                if reply.getheader("Balsamhall-Code") == "0":
                    self.served.append((sent, time.time()))
            except (OSError, http.client.HTTPException):
                pass
            connection.close()
            time.sleep(0.02)

    def unserved(self):
        self.stopping = True
        self.join()
        last, longest = self.event, 0.0
        for sent, answered in self.served:
            if sent >= self.event:
                longest, last = max(longest, answered - last), answered
        return max(longest, time.time() - last)
