"""Runs one check: a state machine with the checker of one rule, or of all rules that apply to it.

The names of rule methods and of their parameters are part of a seed's meaning: hypothesis orders both by
name, so after a renaming that changes the order, a seed leads to other cases.
"""

from __future__ import annotations

import re
from collections import Counter
from typing import Any

import hypothesis
from hypothesis import HealthCheck, Phase
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from granitepoint.modelcheck.cold import ColdStartMachine
from granitepoint.modelcheck.endings import ConnectionMachine
from granitepoint.modelcheck.obligations import InstanceMachine
from granitepoint.modelcheck.rules import RULES

MachineClass = type[RuleBasedStateMachine]

# For each check its state machine and the class attributes that differ from the machine's own.
CHECKS: dict[str, tuple[MachineClass, dict[str, Any]]] = {
    "instance": (InstanceMachine, {}),
    "cold": (ColdStartMachine, {}),
    "endings": (ConnectionMachine, {}),
    **{rule.name: (InstanceMachine, {"checkers": (rule,)}) for rule in RULES},
}
GENERATE_AND_SHRINK = (Phase.generate, Phase.shrink)
IMPORTABLE_NAMES = {
    "granitepoint.interface": ("Effect", "ListKind", "RequestClass", "ServerState", "Status", "Tenant"),
    "math": ("inf",),
}


class CounterexampleFound(AssertionError):
    """A rule was violated; `test_source` is the shortest case that was found, as Python code of a test."""

    def __init__(self, cause: BaseException, test_source: str) -> None:
        super().__init__(str(cause) or repr(cause))
        self.test_source = test_source


def format_as_test(machine: MachineClass, notes: list[str]) -> str:
    """Converts the steps that hypothesis reports into the code of a test function.

    `notes` are those that hypothesis adds to the exception. Returns them unchanged if they hold no steps.
    """
    text = "\n".join(notes)
    steps = text.partition("Falsifying example:\n")[2].partition("\nExplanation:")[0].strip()
    if not steps:
        return text
    steps = re.sub(r"<(\w+\.\w+): [^>]*>", r"\1", steps)  # <Enum.MEMBER: value> -> Enum.MEMBER
    imports = [f"from {machine.__module__} import {machine.__name__}"]
    for module, names in IMPORTABLE_NAMES.items():
        used = [name for name in names if re.search(rf"\b{name}\b", steps)]
        if used:
            imports.append(f"from {module} import {', '.join(used)}")
    body = "".join(f"    {line}\n" for line in steps.split("\n"))
    return "\n".join(sorted(imports)) + f"\n\n\ndef test_found() -> None:\n{body}"


def check(
    name: str,
    examples: int,
    steps: int,
    seed: int,
    statistics: Counter[str] | None = None,
    phases: tuple[Phase, ...] = GENERATE_AND_SHRINK,
    **overrides: Any,
) -> None:
    """Runs `examples` examples of up to `steps` steps; raises CounterexampleFound if a rule is violated.

    `statistics` receives counters of what was run. `overrides` replace class attributes of the state machine.
    """
    base, own_attributes = CHECKS[name]
    machine = type(
        base.__name__,
        (base,),
        {"statistics": statistics, "__module__": base.__module__, **own_attributes, **overrides},
    )
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    try:
        seeded_machine = hypothesis.seed(seed)(machine)
        run_state_machine_as_test(seeded_machine, settings=settings)  # type: ignore[no-untyped-call]
    except Exception as error:
        raise CounterexampleFound(error, format_as_test(base, getattr(error, "__notes__", []))) from error
