// headgate: the operators' command line. Its commands stand in source/headgate/. docs/operations.md 3.
#include "edge/log.hpp"
#include "edge/options.hpp"
#include "edge/wire.hpp"
#include "headgate/command.hpp"
#include <iostream>
#include <unistd.h>

using namespace aniseline;

namespace {

Result<Answer, ClientError> foundBy(Loop& loop, const Address& peer, Span within) {
    WireCaller caller(loop, peer);
    auto answered = caller.call(FoundAsk{}, within);
    if (!answered) return ClientError{ClientError::Kind::unknown, 0, answered.error().text, Span{0}};
    if (auto* answer = boost::get<Answer>(&answered.value().body)) return *answer;
    return ClientError{ClientError::Kind::unknown, 0, peer.value + " gave another answer than asked for", Span{0}};
}

void printHelp(const OptionSet& options, Words words) {
    if (!words.empty() && words[0] == "help") words.erase(words.begin());
    std::size_t taken = 0;
    const Command* command = commandOf(words, taken);
    std::cout << (command ? commandHelp(*command, options.describe(command->options), options.describe(commonOptions())) : generalHelp(options.describe(commonOptions())));
    std::cout.flush();
}

}  // namespace

int main(int count, char** values) {
    Loop loop;
    std::vector<Address> sluices;
    Words words;
    std::int64_t within = 10'000;
    Session session{{}, {}, {}, [](Span span) { pause(span); }, std::cout, std::cerr, isatty(STDOUT_FILENO) == 1};
    Choices& choices = session.choices;
    OptionSet options("headgate", "the operators' command line of aniseline");
    options.addresses("sluices", sluices, "outer address of a sluice");
    options.environment("sluices", "HEADGATE_SLUICES");
    options.whole("within-ms", within, "how long to try", 100, 600'000);
    options.flag("json", choices.json, "answers and errors as JSON, for programs");
    options.text("state", choices.state, "of the jobs to list: timed, open, cancelling, finished, failed or cancelled");
    options.whole("limit", choices.limit, "jobs to list at most", 1, 1000);
    options.whole("based-on", choices.basedOn, "the setup version that the new one is based on; the one in force if not given", 0, 1'000'000'000);
    options.whole("drain-within-ms", choices.drainWithin, "how long a drained minion's tasks may go on", 0, 86'400'000);
    options.whole("times", choices.times, "how often", 1, 1'000'000);
    options.whole("every-ms", choices.every, "time between", 100, 3'600'000);
    options.words(words, "a command");
    options.help([&](const Words& asked) { printHelp(options, asked); });
    options.read(count, values);
    std::size_t taken = 0;
    if (!words.empty() && words[0] == "help" && (words.size() == 1 || commandOf(Words(words.begin() + 1, words.end()), taken))) {
        printHelp(options, words);
        return 0;
    }
    startLog("headgate", "", true);
    std::unique_ptr<Caller> caller;
    if (!sluices.empty()) {
        caller = std::make_unique<Caller>(loop, sluices);
        session.ask = [&](const HttpRequest& request) -> Result<HttpAnswer, ClientError> { return caller->ask(request, Span{within}); };
    }
    session.found = [&](const Address& peer) { return foundBy(loop, peer, Span{within}); };
    const ExitCode code = runWords(session, words, options.onLine());
    std::cout.flush();
    std::_Exit(int(code));
}
