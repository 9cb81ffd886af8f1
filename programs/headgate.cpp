// headgate: the operators' command line. docs/operations.md 3.
#include "client.hpp"
#include "edge/log.hpp"
#include "edge/options.hpp"
#include "edge/wire.hpp"
#include <fstream>
#include <iostream>

using namespace aniseline;

namespace {

constexpr const char* usage =
    "setup show | setup check FILE | setup apply FILE [--based-on N]\n"
    "  submit FILE | show JOB | cancel JOB | list [--state S]\n"
    "  minions | drain MINION | undrain MINION | declare-gone MINION\n"
    "  cluster | plan | counters | replace RESERVOIR | found PEER-ADDRESS";

struct Program {
    std::vector<Address> sluices;
    std::vector<std::string> words;
    std::string state;
    std::int64_t basedOn = -1, within = 10'000, drainWithin = 30'000;
    Loop loop;

    std::optional<std::string> readFile(const std::string& name) {
        std::ifstream stream(name);
        if (!stream.is_open()) {
            std::cerr << "headgate: " << name << ": can't be read\n";
            return std::nullopt;
        }
        return std::string((std::istreambuf_iterator<char>(stream)), {});
    }
    int ask(const HttpRequest& request) {
        if (sluices.empty()) {
            std::cerr << "headgate: --sluices: is missing\n";
            return 2;
        }
        Caller caller(loop, sluices);
        auto answer = caller.ask(request, Span{within});
        if (answer) {
            picojson::value root;
            if (picojson::parse(root, answer.value().body).empty()) std::cout << root.serialize(true);
            else std::cout << answer.value().body << "\n";
            return 0;
        }
        std::cerr << "headgate: " << (answer.error().status ? std::to_string(answer.error().status) + " " : "") << answer.error().text << "\n";
        // 3: refused; 4: there is no such thing; 5: the outcome is unknown, ask again.
        return answer.error().kind == ClientError::Kind::missing ? 4 : answer.error().kind == ClientError::Kind::unknown ? 5 : 3;
    }
    int setup() {
        const std::string verb = words.size() > 1 ? words[1] : "";
        if (verb == "show" && words.size() == 2) return ask({"GET", "/v1/setup", ""});
        if ((verb != "check" && verb != "apply") || words.size() != 3) return wrong();
        auto text = readFile(words[2]);
        if (!text) return 2;
        auto parsed = Setup::parse(*text);
        if (!parsed) {
            for (const auto& fault : parsed.error().details) std::cerr << words[2] << ": " << (fault.path.empty() ? "" : fault.path + ": ") << fault.text << "\n";
            return 3;
        }
        if (verb == "check") {
            std::cout << words[2] << ": good, " << parsed.value().queues.size() << " queues\n";
            return 0;
        }
        if (basedOn < 0) {
            Caller caller(loop, sluices);
            auto now = caller.ask({"GET", "/v1/setup", ""}, Span{within});
            picojson::value root;
            if (!now || !picojson::parse(root, now.value().body).empty()) {
                std::cerr << "headgate: the version in force can't be learned; give --based-on\n";
                return 5;
            }
            basedOn = std::int64_t(root.get("version").get<double>());
        }
        return ask({"PUT", "/v1/setup", "{\"based_on\":" + std::to_string(basedOn) + ",\"setup\":" + *text + "}"});
    }
    int found() {
        WireCaller caller(loop, Address{words[1]});
        auto answered = caller.call(FoundAsk{}, Span{within});
        if (!answered) {
            std::cerr << "headgate: " << answered.error().text << "\n";
            return 5;
        }
        auto* answer = boost::get<Answer>(&answered.value().body);
        if (!answer) return 5;
        (answer->status < 400 ? std::cout : std::cerr) << answer->body << "\n";
        return answer->status < 400 ? 0 : 3;
    }
    int wrong() {
        std::cerr << "headgate: the words make no command; these do:\n  " << usage << "\n";
        return 2;
    }
    int run() {
        if (words.empty()) return wrong();
        const std::string& verb = words[0];
        const std::string id = words.size() > 1 ? words[1] : "";
        if (verb == "setup") return setup();
        if (words.size() == 1) {
            if (verb == "list") return ask({"GET", "/v1/jobs" + (state.empty() ? "" : "?state=" + state), ""});
            if (verb == "minions" || verb == "cluster" || verb == "plan" || verb == "counters") return ask({"GET", "/v1/" + verb, ""});
            return wrong();
        }
        if (words.size() != 2) return wrong();
        if (verb == "show") return ask({"GET", "/v1/jobs/" + id, ""});
        if (verb == "cancel") return ask({"DELETE", "/v1/jobs/" + id, ""});
        if (verb == "submit") {
            auto text = readFile(id);
            return text ? ask({"POST", "/v1/jobs", *text}) : 2;
        }
        if (verb == "drain") return ask({"POST", "/v1/minions/" + id + "/drain?within_ms=" + std::to_string(drainWithin), ""});
        if (verb == "undrain") return ask({"POST", "/v1/minions/" + id + "/undrain", ""});
        if (verb == "declare-gone") return ask({"POST", "/v1/minions/" + id + "/gone", ""});
        if (verb == "replace") return ask({"POST", "/v1/reservoirs/" + id + "/replace", ""});
        if (verb == "found") return found();
        return wrong();
    }
};

}  // namespace

int main(int count, char** values) {
    Program program;
    OptionSet options("headgate", std::string("the operators' command line of aniseline:\n  ") + usage);
    options.addresses("sluices", program.sluices, "outer addresses of sluices");
    options.whole("based-on", program.basedOn, "the setup version that the new one is based on; the one in force if not given", 0, 1'000'000'000);
    options.whole("within-ms", program.within, "how long to try", 100, 600'000);
    options.whole("drain-within-ms", program.drainWithin, "how long a drained minion's tasks may go on", 0, 86'400'000);
    options.text("state", program.state, "of the jobs to list");
    options.words(program.words, "a command");
    options.read(count, values);
    startLog("headgate", "", true);
    const int status = program.run();
    std::cout.flush();
    std::_Exit(status);
}
