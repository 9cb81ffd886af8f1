"""Checks that the `packages` of a deploy file cover all system files that a build used.

Usage: packages.py BUILD_FOLDER TARGET DEPLOY_FILE

The headers are taken from Ninja's dependency log, the libraries from the link command and ldd, and the tools from the
list below. dpkg knows which package owns each file. A package counts as listed if the deploy file contains it, if a
listed package depends on it (at any depth), or if Debian marks it as essential.
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
    """Returns the system headers that the compiler read for the objects of a target and of the libraries that it links."""
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
    """Returns the shared libraries that the finished program loads and the libraries on the link command."""
    libraries = set(re.findall(r"(/\S+\.so\S*)", output_of("ldd", str(build / target))))
    link_line = output_of("ninja", "-C", str(build), "-t", "commands", target).splitlines()[-1]
    return libraries | set(re.findall(r"(/usr/lib\S+\.(?:so|a)\S*)", link_line))


def tool_paths():
    return {str(Path(output_of("which", tool).strip()).resolve()) for tool in TOOLS_OF_THE_BUILD_LINE}


def owner_of_each_file():
    """Maps the path of each file that dpkg installed to the package that owns it."""
    owner = {}
    for listing in DPKG_FILE_LISTS.glob("*.list"):
        package = listing.stem.split(":")[0]
        for path in listing.read_text().splitlines():
            owner[path] = package
    return owner


def owners(files):
    """Returns the packages that own the files. Exits with an error if no package owns a file."""
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
    """Returns the dependencies (Depends and Pre-Depends) of each installed package, the providers of each virtual package, and the essential
    packages."""
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
    """Returns the packages and their direct and indirect dependencies."""
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
