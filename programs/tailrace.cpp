// tailrace: checks the never-rules from the histories that callers and minions witnessed. docs/design.md 11.
#include "edge/history.hpp"
#include "edge/options.hpp"
#include "exchange.hpp"
#include "promises.hpp"
#include <fstream>
#include <iostream>

using namespace aniseline;

int main(int count, char** values) {
    std::string folder, setupFile;
    std::int64_t slack = 300;
    OptionSet options("tailrace", "checks aniseline's never-rules from witnessed histories (*.witness, *.submissions in a folder)");
    options.text("folder", folder, "the folder with the histories", true);
    options.text("setup", setupFile, "the setup in force, for the queues' retries");
    options.whole("slack-ms", slack, "allowed for the witnesses' own clock readings", 0, 10'000);
    options.read(count, values);

    auto read = readFolder(folder);
    if (!read) {
        std::cerr << "tailrace: " << read.error().message() << "\n";
        return 2;
    }
    const auto& history = read.value().witnessed;
    const auto& submissions = read.value().submissions;
    PromiseOptions promises;
    promises.slack = slack;
    if (!setupFile.empty()) {
        std::ifstream stream(setupFile);
        auto setup = Setup::parse(std::string((std::istreambuf_iterator<char>(stream)), {}));
        if (!setup) {
            std::cerr << "tailrace: " << setupFile << ": " << setup.error().text() << "\n";
            return 2;
        }
        for (const auto& [name, queue] : setup.value().queues) promises.retriesOf[name.value] = queue.retries;
    }
    std::size_t starts = 0;
    for (const auto& witness : history) starts += witness.kind == Witness::Kind::started;
    const auto findings = checkPromises(history, submissions, promises);
    for (const auto& promise : findings.limits) std::cout << "limit of rule " << promise.rule << " at " << promise.at << ": " << promise.text << "\n";
    for (const auto& promise : findings.broken) std::cout << "rule " << promise.rule << " at " << promise.at << ": " << promise.text << "\n";
    std::cout << json(picojson::object{{"lines", json(history.size())}, {"jobs", json(submissions.size())}, {"starts", json(starts)}, {"limits", json(findings.limits.size())}, {"broken", json(findings.broken.size())}}).serialize() << std::endl;
    return findings.broken.empty() ? 0 : 1;
}
