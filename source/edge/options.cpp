#include "edge/options.hpp"
#include "edge/loop.hpp"
#include <cmath>
#include <fstream>
#include <iostream>

namespace aniseline {

OptionSet::OptionSet(std::string program, std::string purpose) : program(std::move(program)), purpose(std::move(purpose)) {}

void OptionSet::add(Entry entry) { entries.push_back(std::move(entry)); }

void OptionSet::text(const std::string& name, std::string& target, const std::string& help, bool needed) {
    Entry entry{name, help, needed, false, false, {}, {}, {}, false};
    entry.take = [&target](const std::string& given) -> std::optional<std::string> {
        if (given.empty()) return "must not be empty";
        target = given;
        return std::nullopt;
    };
    add(std::move(entry));
}
void OptionSet::address(const std::string& name, Address& target, const std::string& help, bool needed) {
    Entry entry{name, help, needed, false, false, {}, {}, {}, false};
    entry.take = [&target](const std::string& given) -> std::optional<std::string> {
        auto endpoint = endpointOf(Address{given});
        if (!endpoint) return endpoint.error().text();
        target = Address{given};
        return std::nullopt;
    };
    add(std::move(entry));
}
void OptionSet::addresses(const std::string& name, std::vector<Address>& target, const std::string& help, bool needed) {
    Entry entry{name, help, needed, false, true, {}, {}, {}, false};
    entry.take = [&target](const std::string& given) -> std::optional<std::string> {
        auto endpoint = endpointOf(Address{given});
        if (!endpoint) return endpoint.error().text();
        target.push_back(Address{given});
        return std::nullopt;
    };
    add(std::move(entry));
}
void OptionSet::whole(const std::string& name, std::int64_t& target, const std::string& help, std::int64_t low, std::int64_t high) {
    Entry entry{name, help + " (" + std::to_string(target) + ")", false, false, false, {}, {}, {}, false};
    entry.take = [&target, low, high](const std::string& given) -> std::optional<std::string> {
        char* end = nullptr;
        errno = 0;
        const auto number = std::strtoll(given.c_str(), &end, 10);
        if (given.empty() || *end || errno || number < low || number > high) return "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high);
        target = number;
        return std::nullopt;
    };
    add(std::move(entry));
}
void OptionSet::real(const std::string& name, double& target, const std::string& help, double low, double high) {
    Entry entry{name, help, false, false, false, {}, {}, {}, false};
    entry.take = [&target, low, high](const std::string& given) -> std::optional<std::string> {
        char* end = nullptr;
        const double number = std::strtod(given.c_str(), &end);
        if (given.empty() || *end || !(number >= low && number <= high)) return "must be a number from " + std::to_string(low) + " to " + std::to_string(high);
        target = number;
        return std::nullopt;
    };
    add(std::move(entry));
}
void OptionSet::flag(const std::string& name, bool& target, const std::string& help) {
    Entry entry{name, help, false, true, false, {}, {}, {}, false};
    entry.take = [&target](const std::string& given) -> std::optional<std::string> {
        if (given != "true" && given != "false") return "must be true or false";
        target = given == "true";
        return std::nullopt;
    };
    add(std::move(entry));
}
void OptionSet::words(std::vector<std::string>& target, const std::string& help) {
    wordsTarget = &target;
    wordsHelp = help;
}

void OptionSet::read(int count, char** values) {
    std::vector<std::string> faults;
    try {
        TCLAP::CmdLine line(purpose, ' ', "0.1.0");
        TCLAP::ValueArg<std::string> file("", "options", "a JSON file of these options, by their names; a flag wins", false, "", "file", line);
        for (auto& entry : entries) {
            if (entry.isFlag) {
                auto arg = std::make_shared<TCLAP::SwitchArg>("", entry.name, entry.help, line);
                entry.given = [arg] { return arg->isSet() ? std::vector<std::string>{"true"} : std::vector<std::string>{}; };
                entry.arg = arg;
            } else if (entry.isList) {
                auto arg = std::make_shared<TCLAP::MultiArg<std::string>>("", entry.name, entry.help, false, "value", line);
                entry.given = [arg] { return arg->getValue(); };
                entry.arg = arg;
            } else {
                auto arg = std::make_shared<TCLAP::ValueArg<std::string>>("", entry.name, entry.help, false, "", "value", line);
                entry.given = [arg] { return arg->isSet() ? std::vector<std::string>{arg->getValue()} : std::vector<std::string>{}; };
                entry.arg = arg;
            }
        }
        std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> rest;
        if (wordsTarget) rest = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>("words", wordsHelp, false, "words", line);
        line.parse(count, values);
        for (auto& entry : entries)
            for (const auto& given : entry.given()) {
                entry.set = true;
                if (auto fault = entry.take(given)) faults.push_back("--" + entry.name + ": " + *fault);
            }
        if (rest) *wordsTarget = rest->getValue();
        if (file.isSet()) {
            std::ifstream stream(file.getValue());
            const std::string where = file.getValue();
            std::string bytes((std::istreambuf_iterator<char>(stream)), {});
            picojson::value root;
            const std::string error = !stream.is_open() ? "can't be read" : nestedTooDeep(bytes) ? "is nested too deep" : picojson::parse(root, bytes);
            if (!error.empty()) faults.push_back(where + ": " + error);
            else if (!root.is<picojson::object>()) faults.push_back(where + ": must be an object");
            else
                for (const auto& [name, value] : root.get<picojson::object>()) {
                    auto entry = std::find_if(entries.begin(), entries.end(), [&, &wanted = name](const Entry& known) { return known.name == wanted; });
                    if (entry == entries.end()) {
                        faults.push_back(where + ": " + name + ": is not a known option of " + program);
                        continue;
                    }
                    if (entry->set) continue;
                    std::vector<std::string> given;
                    if (value.is<picojson::array>()) {
                        if (!entry->isList) faults.push_back(where + ": " + name + ": must not be a list");
                        else
                            for (const auto& item : value.get<picojson::array>()) given.push_back(item.is<std::string>() ? item.get<std::string>() : item.serialize());
                    } else given.push_back(value.is<std::string>() ? value.get<std::string>() : value.serialize());
                    for (const auto& item : given)
                        if (auto fault = entry->take(item)) faults.push_back(where + ": " + name + ": " + *fault);
                    entry->set = true;
                }
        }
    } catch (const TCLAP::ArgException& error) {
        faults.push_back(error.argId() + ": " + error.error());
    }
    for (const auto& entry : entries)
        if (entry.needed && !entry.set) faults.push_back("--" + entry.name + ": is missing");
    if (faults.empty()) return;
    for (const auto& fault : faults) std::cerr << program << ": " << fault << "\n";
    std::exit(2);
}

}  // namespace aniseline
