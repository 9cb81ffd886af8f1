"""Checks that a deploy file's `packages` cover all system files that a build opened.

Usage: packages.py BUILD_FOLDER TARGET DEPLOY_FILE

Ninja's dependency log gives each header that the compiler read, the link line each library, and the build line the
tools. dpkg tells which package owns each file. A package counts as listed if it stands in the deploy file, if a listed
one depends on it (at any depth), or if Debian calls it essential.
"""
import re
import subprocess
import sys
import tomllib
from pathlib import Path

DPKG_FILE_LISTS = Path("/var/lib/dpkg/info")
TOOLS_OF_THE_BUILD_LINE = ("cmake", "ninja", "c++", "ld", "ar")


def output_of(*command):
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def opened_headers(build, target):
    """System headers that the compiler read for the objects of a target and of the libraries it links."""
    wanted = set(output_of("ninja", "-C", str(build), "-t", "inputs", target).split())
    headers = set()
    is_wanted = False
    for line in output_of("ninja", "-C", str(build), "-t", "deps").splitlines():
        if line and not line.startswith(" "):
            is_wanted = line.split(":")[0] in wanted
        elif is_wanted and line.strip():
            path = str((build / line.strip()).resolve())
            if path.startswith("/usr/"):
                headers.add(path)
    return headers


def linked_libraries(build, target):
    """Shared libraries that the finished program loads, and libraries named on the link line."""
    libraries = set(re.findall(r"(/\S+\.so\S*)", output_of("ldd", str(build / target))))
    link_line = output_of("ninja", "-C", str(build), "-t", "commands", target).splitlines()[-1]
    return libraries | set(re.findall(r"(/usr/lib\S+\.(?:so|a)\S*)", link_line))


def tool_paths():
    return {str(Path(output_of("which", tool).strip()).resolve()) for tool in TOOLS_OF_THE_BUILD_LINE}


def owner_of_each_file():
    """Of each file that dpkg installed the package that owns it, by its resolved path."""
    owner = {}
    for listing in DPKG_FILE_LISTS.glob("*.list"):
        package = listing.stem.split(":")[0]
        for path in listing.read_text().splitlines():
            owner[path] = package
    return owner


def owners(files):
    """Packages that own the files; a file that no package owns is an error."""
    owner = owner_of_each_file()
    found = set()
    for file in sorted(files):
        resolved = str(Path(file).resolve())
        spellings = (file, resolved, file.removeprefix("/usr"), resolved.removeprefix("/usr"))
        package = next((owner[path] for path in spellings if path in owner), None)
        if package is None:
            raise SystemExit(f"packages: no package owns {file}")
        found.add(package)
    return found


def installed_dependencies():
    """Of each installed package the names in its Depends and Pre-Depends, and the essential packages."""
    depends, provides, essential = {}, {}, set()
    fields = "${Package}\t${Essential}\t${Depends}, ${Pre-Depends}\t${Provides}\n"
    for line in output_of("dpkg-query", "-W", "-f=" + fields).splitlines():
        package, is_essential, names, provided = line.split("\t")
        depends[package] = {name for name in re.findall(r"(?:^|[,|])\s*([a-z0-9][a-z0-9+.-]*)", names)}
        for name in re.findall(r"(?:^|,)\s*([a-z0-9][a-z0-9+.-]*)", provided):
            provides.setdefault(name, set()).add(package)
        if is_essential == "yes":
            essential.add(package)
    return depends, provides, essential


def closure(packages, depends, provides):
    """The packages and all that they depend on."""
    seen, waiting = set(), list(packages)
    while waiting:
        package = waiting.pop()
        if package in seen:
            continue
        seen.add(package)
        waiting.extend(depends.get(package, ()))
        waiting.extend(provides.get(package, ()))
    return seen


def main():
    build, target, deploy_file = Path(sys.argv[1]), sys.argv[2], Path(sys.argv[3])
    listed = set(tomllib.loads(deploy_file.read_text())["packages"])
    depends, provides, essential = installed_dependencies()
    not_installed = sorted(name for name in listed if name not in depends)
    if not_installed:
        raise SystemExit("packages: listed but not installed: " + ", ".join(not_installed))
    files = opened_headers(build, target) | linked_libraries(build, target) | tool_paths()
    needed = owners(files)
    missing = sorted(needed - closure(listed | essential, depends, provides))
    if missing:
        raise SystemExit("packages: needed by the build but not listed in " + str(deploy_file) + ": " + ", ".join(missing))
    print(f"packages: {len(files)} files of {len(needed)} packages, all listed or depended on")


if __name__ == "__main__":
    main()
