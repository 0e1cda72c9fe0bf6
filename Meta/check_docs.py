#!/usr/bin/env python3
"""Compares README.md and docs/ with the code: settings keys, log events, relative links and subcommands.

usage: check_docs.py [ROOT]
Prints each difference as FILE:LINE: MESSAGE. Exit codes: 0 no difference, 1 differences, 2 wrong arguments.
"""

import os
import re
import sys

# The code that reads each kind of settings file, and the heading of its reference.
SETTINGS = {"Services/jujuberelayd/src/Settings.cpp": "## Settings", "Services/jujuberelayd/src/RelaySettings.cpp": "## Relay settings"}
SETTINGS_PAGE = "docs/OPERATIONS.md"
EVENTS_PAGE = "docs/events.md"
SCRIPT = "Meta/jujuberelay.sh"
COMMANDS_FOLDER = "Utilities/jujuberelay/src/"

EVENT_IN_CODE = re.compile(r'\bEvent \w+ ?\{ *(\d+), *(?:Core::)?Severity::(\w+), *"(\w+)" *\}')
# The name of an event variable with an initialiser, whatever the initialiser looks like.
EVENT_DEFINITION = re.compile(r"\b(?:constexpr|const) (?:Core::)?Event \w+\s*(?:\{|=)")
EVENT_IN_PAGE = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \|")
SETTING_IN_CODE = re.compile(r'fields\["(\w+)"\]')
SETTING_IN_PAGE = re.compile(r"^\| `(\w+)` \|")
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
CODE_SPAN = re.compile(r"`([^`]+)`")
# A command line with its subcommand and, for commands that have their own subcommands, the next word.
COMMAND_LINE = re.compile(r"(?<![\w.-])jujuberelay(\.sh)? ([a-z]\w*(?:\\?\|\w+)*)(?: ([a-z]\w*(?:\\?\|\w+)*))?")


class Check:
    def __init__(self, root):
        self.root = root
        self.faults = []

    def lines(self, path):
        with open(os.path.join(self.root, path), encoding="utf-8") as file:
            return list(enumerate(file.read().splitlines(), 1))

    def text(self, path):
        with open(os.path.join(self.root, path), encoding="utf-8") as file:
            return file.read()

    def fail(self, path, line, message):
        self.faults.append("%s:%d: %s" % (path, line, message))

    def files(self, folders, endings):
        for folder in folders:
            for parent, _, names in sorted(os.walk(os.path.join(self.root, folder))):
                for name in sorted(names):
                    if name.endswith(endings):
                        yield os.path.relpath(os.path.join(parent, name), self.root)

    def pages(self):
        return ["README.md", *self.files(["docs"], ".md")]

    # Settings.

    def check_settings(self, code, heading):
        in_code = {key: line for line, text in self.lines(code) for key in SETTING_IN_CODE.findall(text)}
        in_page = {}
        for line, text in self.settings_section(heading):
            match = SETTING_IN_PAGE.match(text)
            if match and match.group(1) in in_page:
                self.fail(SETTINGS_PAGE, line, "the settings key %s is listed twice" % match.group(1))
            elif match:
                in_page[match.group(1)] = line
        if not in_code:
            self.fail(code, 1, "no settings key was found")
        for key in in_code.keys() - in_page.keys():
            self.fail(code, in_code[key], "the settings key %s is missing in %s" % (key, SETTINGS_PAGE))
        for key in in_page.keys() - in_code.keys():
            self.fail(SETTINGS_PAGE, in_page[key], "the settings key %s does not exist in %s" % (key, code))

    def settings_section(self, heading):
        """The lines below the heading up to the next heading of its level."""
        is_inside = False
        for line, text in self.lines(SETTINGS_PAGE):
            if text.startswith("## "):
                is_inside = text == heading
            elif is_inside:
                yield line, text

    # Events.

    def check_events(self):
        in_code = self.events_in_code()
        in_page = self.events_in_page()
        for (number, severity, name), (path, line) in in_code.items():
            if (number, severity, name) not in in_page:
                self.fail(path, line, "event %d %s %s is missing in %s" % (number, severity, name, EVENTS_PAGE))
        for (number, severity, name), line in in_page.items():
            if (number, severity, name) not in in_code:
                self.fail(EVENTS_PAGE, line, "event %d %s %s does not exist in the code" % (number, severity, name))

    def events_in_code(self):
        found = {}
        first_use = {}
        for path in self.files(["Libraries", "Services", "Utilities"], (".cpp", ".h")):
            for line, text in self.lines(path):
                match = EVENT_IN_CODE.search(text)
                if not match:
                    if EVENT_DEFINITION.search(text):
                        self.fail(path, line, "this event is not written as { NUMBER, Severity, \"name\" } on one line")
                    continue
                number, severity, name = int(match.group(1)), match.group(2).lower(), match.group(3)
                found.setdefault((number, severity, name), (path, line))
                earlier = first_use.setdefault(number, (name, path, line))
                if earlier[0] != name:
                    self.fail(path, line, "event number %d of %s is used for %s in %s:%d" % (number, name, *earlier))
        return found

    def events_in_page(self):
        found = {}
        for line, text in self.lines(EVENTS_PAGE):
            match = EVENT_IN_PAGE.match(text)
            if not match:
                continue
            event = (int(match.group(1)), match.group(2), match.group(3))
            if event in found:
                self.fail(EVENTS_PAGE, line, "event %d %s is listed twice" % (event[0], event[2]))
            found[event] = line
        return found

    # Links and commands.

    def check_links(self):
        for path in self.pages():
            for line, text in self.lines(path):
                for target in LINK.findall(CODE_SPAN.sub("", text)):
                    file = target.split("#")[0]
                    if not file or re.match(r"[a-z]+:", file):
                        continue
                    if not os.path.exists(os.path.join(self.root, os.path.dirname(path), file)):
                        self.fail(path, line, "the link to %s leads to no file" % target)

    def check_commands(self):
        script = self.script_commands()
        commands = self.names_in_table("main.cpp")
        nested = {
            "emulate": self.names_in_table("EmulateCommand.cpp"),
            "measure": self.names_in_table("MeasureCommand.cpp"),
            "note": set(re.findall(r'action != "(\w+)"', self.text(COMMANDS_FOLDER + "Note.cpp"))),
        }
        scripts = {name[len("measure_"):-len(".py")] for name in os.listdir(os.path.join(self.root, "Meta")) if name.startswith("measure_")}
        for path in self.pages():
            for line, code in self.code_in_page(path):
                for is_script, command, argument in COMMAND_LINE.findall(code):
                    known = script if is_script else commands
                    self.check_words(path, line, command, known, SCRIPT if is_script else "jujuberelay")
                    if argument and command in nested and command in known:
                        names = nested[command] | (scripts if is_script and command == "measure" else set())
                        self.check_words(path, line, argument, names, "jujuberelay " + command)

    def check_words(self, path, line, words, known, owner):
        for word in re.split(r"\\?\|", words):
            if word not in known:
                self.fail(path, line, "%s has no subcommand %s" % (owner, word))

    def script_commands(self):
        found = set()
        for _, text in self.lines(SCRIPT):
            match = re.match(r"^([a-z]+(?: \| [a-z]+)*)\)$", text)
            if match:
                found.update(match.group(1).split(" | "))
        return found

    def names_in_table(self, file):
        return set(re.findall(r'^ +\{ "(\w+)", ', self.text(COMMANDS_FOLDER + file), re.MULTILINE))

    def code_in_page(self, path):
        """The lines of fenced blocks and the code spans, with their line numbers."""
        is_fenced = False
        for line, text in self.lines(path):
            if text.lstrip().startswith("```"):
                is_fenced = not is_fenced
            elif is_fenced:
                yield line, text
            else:
                for code in CODE_SPAN.findall(text):
                    yield line, code


def main(arguments):
    if len(arguments) > 1 or any(argument.startswith("-") for argument in arguments):
        sys.stderr.write(__doc__)
        return 2
    check = Check(arguments[0] if arguments else os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    for code, heading in SETTINGS.items():
        check.check_settings(code, heading)
    check.check_events()
    check.check_links()
    check.check_commands()
    for fault in sorted(set(check.faults)):
        print(fault)
    return 1 if check.faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
