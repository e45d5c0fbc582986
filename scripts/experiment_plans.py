"""The experiments that scripts/experiment can run.

Each defines its deployment, number of hosts, load plan (see
bench/load/load_plan.hpp), fleet settings, arms and printed figures. Capacities
at a service time of 4 ms (median, sigma 0.4; mean 4.33 ms): catalogue, 2 leaves
with 2 slots each per shard, 923 queries/s; order-desk, 7 leaves with 4 slots
each, 6,460 queries/s.
"""

LOOKUP = """
[load]
duration_ms = 6000
warm_up_ms = 1000
[mix record]
service = order-desk
class = supplier-record
worth = 5
rate = 200
deadline_ms = 500
"""

BROWSE = """
[load]
duration_ms = 8000
warm_up_ms = 2000
[mix browse]
service = catalogue
class = browse
worth = 1
rate = {browse}
deadline_ms = 400
repeat_share = 0.2
[mix stock-check]
service = catalogue
class = stock-check
worth = 10
rate = {stock}
deadline_ms = 400
"""

SLOW_TENTH = """
[action slow]
at_ms = 0
path = /standin/fault
body = {"service":"catalogue","share":0.1,"seed":3,"kind":"slow","factor":10}
"""

MIXED = """
[load]
duration_ms = 8000
warm_up_ms = 1000
[mix stock-check]
service = catalogue
class = stock-check
worth = 10
rate = 60
deadline_ms = 400
repeat_share = 0.2
[mix order]
service = order-desk
class = supplier-order
worth = 20
rate = 60
deadline_ms = 1000
execute = yes
resend_share = 0.3
resend_after_ms = 15
"""

STEADY_FIGURES = ["run/browse/p50_ms", "run/browse/p99_ms", "run/browse/p999_ms",
                  "run/stock-check/p50_ms", "run/stock-check/p99_ms", "run/browse/coverage",
                  "run/worth_served", "extra_load", "run/sent_late_p99_ms", "processor_s/relay",
                  "processor_s/entry"]
CREST_FIGURES = ["crest/browse/served", "crest/stock-check/served", "crest/stock-check/refused",
                 "crest/worth_served", "crest/of_oracle", "run/of_oracle",
                 "crest/stock-check/p99_ms", "run/sent_late_p99_ms"]
# Poison queries crash leaves from the start. If the same query succeeded first,
# the run would measure the effect of its history.
POISON = """
[mix poison]
service = catalogue
class = browse
worth = 1
rate = 4
deadline_ms = 400
poison = yes
repeat_share = 1
"""
FAULT_FIGURES = ["run/stock-check/coverage", "run/stock-check/p99_ms", "run/stock-check/served",
                 "run/order/served", "run/order/failed", "run/worth_served", "extra_load"]


def fault(members):
    """Returns actions that inject a fault into leaves of both services at 2 s."""
    return "".join(
        f"[action {service}]\nat_ms = 2000\npath = /standin/fault\n"
        f'body = {{"service":"{service}","seed":3,{members}}}\n'
        for service in ["catalogue", "order-desk"])


FAULTS = {
    "slow": {"plan": fault('"share":0.2,"kind":"slow","factor":10')},
    "silent": {"plan": fault('"share":0.2,"kind":"drop_silently"')},
    "drop": {"plan": fault('"share":0.2,"kind":"drop_connection","chance":0.1')},
    "no-reply": {"plan": fault('"share":0.2,"kind":"drop_reply","chance":0.1')},
    "crash": {"plan": fault('"share":0.2,"kind":"crash","for_ms":1000')},
    "stall": {"plan": fault('"share":0.2,"kind":"stall","for_ms":1500')},
    "busy": {"plan": fault('"share":0.2,"kind":"busy","chance":0.5')},
    "garbage": {"plan": fault('"share":0.2,"kind":"garbage","chance":0.1')},
    "truncate": {"plan": fault('"share":0.2,"kind":"truncate","chance":0.1')},
    "wrong-echo": {"plan": fault('"share":0.2,"kind":"wrong_echo","chance":0.1')},
    "wrong-version": {"plan": fault('"share":0.2,"kind":"wrong_version","chance":0.1')},
    "duplicate": {"plan": fault('"share":0.2,"kind":"late_duplicate","chance":0.2')},
    "drain": {"plan": fault('"share":0.15,"kind":"drain"')},
    "poison": {"plan": fault('"share":1.0,"kind":"crash_on_mark"')
               .replace("at_ms = 2000", "at_ms = 0") + POISON},
    "platform-down": {"plan": "[action down]\nat_ms = 1500\npath = /standin/platform\n"
                              'body = {"mode":"down"}\n'},
    "relay-killed": {"signals": [(3500, "relay-host-2", "KILL")]},
    "relay-paused": {"signals": [(3500, "relay-host-2", "STOP"), (5500, "relay-host-2", "CONT")]},
    "entry-killed": {"signals": [(3500, "entry-host-2", "KILL")]},
    "entry-paused": {"signals": [(3500, "entry-host-2", "STOP"), (5500, "entry-host-2", "CONT")]},
    "agent-killed": {"signals": [(3500, "agent-host-1", "KILL")]},
}


def pair(first, second):
    """Combines two faults in one arm."""
    one, other = FAULTS[first], FAULTS[second]
    return {"plan": one.get("plan", "") + other.get("plan", "").replace("[action ", "[action b"),
            "signals": sorted(one.get("signals", []) + other.get("signals", []))}


PAIRS = [("slow", "relay-killed"), ("silent", "relay-paused"), ("crash", "entry-killed"),
         ("wrong-version", "relay-paused"), ("drop", "entry-paused"),
         ("platform-down", "relay-killed"), ("drain", "platform-down"), ("busy", "slow")]

EXPERIMENTS = {
    "added-latency": {
        "about": "Latency that basilpath adds to a single lookup without load.",
        "deployment": "prairie-grit", "hosts": 2, "plan": LOOKUP,
        "arms": {"direct": {"load": ["--direct"]}, "basilpath": {},
                 "no-gathering": {"set": ["relay:policy.gather_us=0"]}},
        "show": ["run/record/p50_ms", "run/record/p99_ms", "run/record/coverage",
                 "run/sent_late_p99_ms", "processor_s/entry", "processor_s/relay"]},
    "slowed-leaves": {
        "about": "Tail latency of fan-outs with no leaf or a tenth of the leaves 10 times slower.",
        "deployment": "prairie-grit", "hosts": 3, "plan": BROWSE.format(browse=60, stock=20),
        "arms": {"none-slowed": {},
                 "slowed": {"plan": SLOW_TENTH},
                 "no-hedge": {"plan": SLOW_TENTH, "set": ["relay:policy.hedge=off"]},
                 "no-put-aside": {"plan": SLOW_TENTH, "set": ["relay:policy.put_aside=off"]},
                 "neither": {"plan": SLOW_TENTH, "set": ["relay:policy.hedge=off",
                                                         "relay:policy.put_aside=off"]},
                 "direct": {"plan": SLOW_TENTH, "load": ["--direct"]}},
        "show": STEADY_FIGURES},
    "swing": {
        "about": "Load from half to twice the capacity in a second and back; 20 ms service time "
                 "(184 queries a second).",
        "deployment": "prairie-grit", "hosts": 3, "standin": ["--service_ms=20"],
        "plan": BROWSE.format(browse=74, stock=18) + """
[targets]
service_ms = 20
[bounds]
oracle_share = 0.95
worthiest_refused = 0
[step a]
at_ms = 3000
factor = 2.5
[step b]
at_ms = 3500
factor = 4
[step c]
at_ms = 6000
factor = 1
[window crest]
from_ms = 3500
until_ms = 6000
""",
        "arms": {"basilpath": {}, "direct": {"load": ["--direct"]}},
        "show": CREST_FIGURES},
    "faults": {
        "about": "Each fault on its own.", "deployment": "prairie-grit", "hosts": 3, "plan": MIXED,
        "load": ["--callers", "12"], "arms": {"none": {}, **FAULTS}, "show": FAULT_FIGURES},
    "novel-queries": {
        "about": "New queries compared with repeated queries that have succeeded before.",
        "deployment": "prairie-grit", "hosts": 3,
        "plan": BROWSE.format(browse=80, stock=0).replace("repeat_share = 0.2", "repeat_share = 0"),
        "arms": {"direct": {"load": ["--direct"]}, "novel": {},
                 "repeated": {"replace": ("repeat_share = 0", "repeat_share = 1")},
                 "repeated-no-gathering": {"replace": ("repeat_share = 0", "repeat_share = 1"),
                                           "set": ["relay:policy.gather_us=0"]}},
        "show": ["run/browse/p50_ms", "run/browse/p99_ms", "run/browse/coverage",
                 "run/sent_late_p99_ms", "processor_s/entry", "processor_s/relay"]},
    "relay-cost": {
        "about": "Processor time of a relay at high rates of leaf calls, 1 ms service time.",
        "deployment": "prairie-grit", "hosts": 1, "standin": ["--service_ms=1"],
        "plan": BROWSE.format(browse=150, stock=50), "arms": {
            "4000": {}, "8000": {"load": ["--rate_factor", "2"]}},
        "show": STEADY_FIGURES},
    "fault-pairs": {
        "about": "Pairs of simultaneous faults.",
        "deployment": "prairie-grit", "hosts": 3, "plan": MIXED,
        "load": ["--callers", "12"],
        "arms": {f"{one}+{other}": pair(one, other) for one, other in PAIRS},
        "show": FAULT_FIGURES},
}
