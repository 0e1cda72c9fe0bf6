#!/usr/bin/env python3
"""Checks README.md and docs/ against the code: settings keys, log events, relative links and subcommands.

usage: check_docs.py [ROOT]
Prints each mismatch as FILE:LINE: MESSAGE. Exit codes: 0 no mismatch, 1 mismatches, 2 invalid arguments.
"""

import os
import re
import sys

# Maps the source file that parses a settings file to the heading of its reference section.
SETTINGS = {"Services/jujuberelayd/src/Settings.cpp": "## Settings", "Services/jujuberelayd/src/RelaySettings.cpp": "## Relay settings"}
SETTINGS_PAGE = "docs/OPERATIONS.md"
EVENTS_PAGE = "docs/events.md"
SCRIPT = "Meta/jujuberelay.sh"
COMMANDS_FOLDER = "Utilities/jujuberelay/src/"

EVENT_IN_CODE = re.compile(r'\bEvent \w+ ?\{ *(\d+), *(?:Core::)?Severity::(\w+), *"(\w+)" *\}')
# Any initialised event variable; used to report definitions that EVENT_IN_CODE does not match.
EVENT_DEFINITION = re.compile(r"\b(?:constexpr|const) (?:Core::)?Event \w+\s*(?:\{|=)")
EVENT_IN_DOCS = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \|")
SETTING_IN_CODE = re.compile(r'fields\["(\w+)"\]')
SETTING_IN_DOCS = re.compile(r"^\| `(\w+)` \|")
LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
CODE_SPAN = re.compile(r"`([^`]+)`")
# A command line: the subcommand and the word after it, which may be a nested subcommand.
COMMAND_LINE = re.compile(r"(?<![\w.-])jujuberelay(\.sh)? ([a-z]\w*(?:\\?\|\w+)*)(?: ([a-z]\w*(?:\\?\|\w+)*))?")


class DocumentationChecker:
    def __init__(self, root):
        self.root = root
        self.mismatches = []

    def lines(self, path):
        with open(os.path.join(self.root, path), encoding="utf-8") as file:
            return list(enumerate(file.read().splitlines(), 1))

    def text(self, path):
        with open(os.path.join(self.root, path), encoding="utf-8") as file:
            return file.read()

    def report(self, path, line, message):
        self.mismatches.append("%s:%d: %s" % (path, line, message))

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
        in_docs = {}
        for line, text in self.settings_section(heading):
            match = SETTING_IN_DOCS.match(text)
            if match and match.group(1) in in_docs:
                self.report(SETTINGS_PAGE, line, "the settings key %s is listed twice" % match.group(1))
            elif match:
                in_docs[match.group(1)] = line
        if not in_code:
            self.report(code, 1, "no settings key found; expected the form fields[\"key\"]")
        for key in in_code.keys() - in_docs.keys():
            self.report(code, in_code[key], "the settings key %s is missing in %s" % (key, SETTINGS_PAGE))
        for key in in_docs.keys() - in_code.keys():
            self.report(SETTINGS_PAGE, in_docs[key], "the settings key %s does not exist in %s" % (key, code))

    def settings_section(self, heading):
        """Yields the lines between the heading and the next second-level heading."""
        is_inside = False
        for line, text in self.lines(SETTINGS_PAGE):
            if text.startswith("## "):
                is_inside = text == heading
            elif is_inside:
                yield line, text

    # Events.

    def check_events(self):
        in_code = self.events_in_code()
        in_docs = self.events_in_docs()
        for (number, severity, name), (path, line) in in_code.items():
            if (number, severity, name) not in in_docs:
                self.report(path, line, "event %d %s %s is missing in %s" % (number, severity, name, EVENTS_PAGE))
        for (number, severity, name), line in in_docs.items():
            if (number, severity, name) not in in_code:
                self.report(EVENTS_PAGE, line, "event %d %s %s does not exist in the code" % (number, severity, name))

    def events_in_code(self):
        found = {}
        first_use = {}
        for path in self.files(["Libraries", "Services", "Utilities"], (".cpp", ".h")):
            for line, text in self.lines(path):
                match = EVENT_IN_CODE.search(text)
                if not match:
                    if EVENT_DEFINITION.search(text):
                        self.report(path, line, "event definition is not of the form { NUMBER, Severity, \"name\" } on one line")
                    continue
                number, severity, name = int(match.group(1)), match.group(2).lower(), match.group(3)
                found.setdefault((number, severity, name), (path, line))
                earlier = first_use.setdefault(number, (name, path, line))
                if earlier[0] != name:
                    self.report(path, line, "event number %d of %s is used for %s in %s:%d" % (number, name, *earlier))
        return found

    def events_in_docs(self):
        found = {}
        for line, text in self.lines(EVENTS_PAGE):
            match = EVENT_IN_DOCS.match(text)
            if not match:
                continue
            event = (int(match.group(1)), match.group(2), match.group(3))
            if event in found:
                self.report(EVENTS_PAGE, line, "event %d %s is listed twice" % (event[0], event[2]))
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
                        self.report(path, line, "broken link: %s does not exist" % target)

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
            for line, code in self.code_in_docs(path):
                for is_script, command, argument in COMMAND_LINE.findall(code):
                    known = script if is_script else commands
                    self.check_subcommands(path, line, command, known, SCRIPT if is_script else "jujuberelay")
                    if argument and command in nested and command in known:
                        names = nested[command] | (scripts if is_script and command == "measure" else set())
                        self.check_subcommands(path, line, argument, names, "jujuberelay " + command)

    def check_subcommands(self, path, line, words, known, owner):
        for word in re.split(r"\\?\|", words):
            if word not in known:
                self.report(path, line, "%s has no subcommand %s" % (owner, word))

    def script_commands(self):
        found = set()
        for _, text in self.lines(SCRIPT):
            match = re.match(r"^([a-z]+(?: \| [a-z]+)*)\)$", text)
            if match:
                found.update(match.group(1).split(" | "))
        return found

    def names_in_table(self, file):
        return set(re.findall(r'^ +\{ "(\w+)", ', self.text(COMMANDS_FOLDER + file), re.MULTILINE))

    def code_in_docs(self, path):
        """Yields the lines of fenced code blocks and the inline code spans with their line numbers."""
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
    checker = DocumentationChecker(arguments[0] if arguments else os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
    for code, heading in SETTINGS.items():
        checker.check_settings(code, heading)
    checker.check_events()
    checker.check_links()
    checker.check_commands()
    for mismatch in sorted(set(checker.mismatches)):
        print(mismatch)
    return 1 if checker.mismatches else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
