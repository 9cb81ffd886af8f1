// Parses options from each source and prints help, version and errors.
#include "net/options.hpp"
#include "net/event_loop.hpp"
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

namespace aniseline {

namespace {

constexpr const char* version = "0.1.0";
constexpr int usageErrorStatus = 2;

std::optional<std::string> addressError(const std::string& given) {
  auto endpoint = parseEndpoint(Address{given});
  return endpoint ? std::nullopt : std::optional(endpoint.error().text());
}

// Exits at once, which is safe because the program has not started anything yet.
[[noreturn]] void exitProcess(int status) {
  std::cout.flush();
  std::exit(status);
}

}  // namespace

// The TCLAP arguments for the entries of an OptionSet.
struct OptionSet::CommandLine {
  CommandLine(const std::string& purpose, bool ownHelp)
      : line(purpose, ' ', version, !ownHelp),
        file("", "options", "a JSON file with these options by name; flags take precedence", false,
             "", "file", line) {}

  // Adds the TCLAP argument of an entry; its values can be read after the command line was parsed.
  void add(Entry& entry) {
    switch (entry.kind) {
      case Entry::Kind::flag: {
        auto argument = std::make_shared<TCLAP::SwitchArg>("", entry.name, entry.help, line);
        values.emplace_back(&entry,
                            [argument] { return argument->isSet() ? Values{"true"} : Values{}; });
        break;
      }
      case Entry::Kind::list: {
        auto argument = std::make_shared<TCLAP::MultiArg<std::string>>("", entry.name, entry.help,
                                                                       false, "value", line);
        values.emplace_back(&entry, [argument] { return argument->getValue(); });
        break;
      }
      case Entry::Kind::single: {
        auto argument = std::make_shared<TCLAP::ValueArg<std::string>>("", entry.name, entry.help,
                                                                       false, "", "value", line);
        values.emplace_back(&entry, [argument] {
          return argument->isSet() ? Values{argument->getValue()} : Values{};
        });
        break;
      }
    }
  }
  void addHelpAndVersion() {
    help = std::make_unique<TCLAP::SwitchArg>("h", "help", "print this help and exit", line);
    showVersion =
        std::make_unique<TCLAP::SwitchArg>("", "version", "print the version and exit", line);
  }
  void addPositionals(const std::string& text) {
    positionals = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>("words", text, false,
                                                                          "words", line);
  }
  std::vector<std::string> words() const {
    return positionals ? positionals->getValue() : std::vector<std::string>{};
  }

  using Values = std::vector<std::string>;
  TCLAP::CmdLine line;
  TCLAP::ValueArg<std::string> file;
  std::unique_ptr<TCLAP::SwitchArg> help;
  std::unique_ptr<TCLAP::SwitchArg> showVersion;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> positionals;
  std::vector<std::pair<Entry*, std::function<Values()>>> values;
};

OptionSet::OptionSet(std::string program, std::string purpose)
    : program(std::move(program)), purpose(std::move(purpose)) {}

void OptionSet::addEntry(const std::string& name, const std::string& help, Entry::Kind kind,
                         Presence presence, Parser parse) {
  entries.push_back(Entry{name, help, kind, presence, std::move(parse)});
}

void OptionSet::addText(const std::string& name, std::string& target, const std::string& help,
                        Presence presence) {
  addEntry(name, help, Entry::Kind::single, presence,
           [&target](const std::string& given) -> std::optional<std::string> {
             if (given.empty())
               return "must not be empty";
             target = given;
             return std::nullopt;
           });
}

void OptionSet::addAddress(const std::string& name, Address& target, const std::string& help,
                           Presence presence) {
  addEntry(name, help, Entry::Kind::single, presence, [&target](const std::string& given) {
    auto error = addressError(given);
    if (!error)
      target = Address{given};
    return error;
  });
}

void OptionSet::addAddresses(const std::string& name, std::vector<Address>& target,
                             const std::string& help, Presence presence) {
  addEntry(name, help, Entry::Kind::list, presence, [&target](const std::string& given) {
    auto error = addressError(given);
    if (!error)
      target.push_back(Address{given});
    return error;
  });
}

void OptionSet::addInteger(const std::string& name, std::int64_t& target, const std::string& help,
                           std::int64_t low, std::int64_t high) {
  const std::string shownDefault = target < low ? "" : " (" + std::to_string(target) + ")";
  addEntry(name, help + shownDefault, Entry::Kind::single, Presence::optional,
           [&target, low, high](const std::string& given) -> std::optional<std::string> {
             char* end = nullptr;
             errno = 0;
             const auto number = std::strtoll(given.c_str(), &end, 10);
             if (given.empty() || *end || errno || number < low || number > high)
               return "must be a whole number from " + std::to_string(low) + " to " +
                      std::to_string(high);
             target = number;
             return std::nullopt;
           });
}

void OptionSet::addReal(const std::string& name, double& target, const std::string& help,
                        double low, double high) {
  addEntry(name, help, Entry::Kind::single, Presence::optional,
           [&target, low, high](const std::string& given) -> std::optional<std::string> {
             char* end = nullptr;
             const double number = std::strtod(given.c_str(), &end);
             if (given.empty() || *end || !(number >= low && number <= high))
               return "must be a number from " + std::to_string(low) + " to " +
                      std::to_string(high);
             target = number;
             return std::nullopt;
           });
}

void OptionSet::addFlag(const std::string& name, bool& target, const std::string& help) {
  addEntry(name, help, Entry::Kind::flag, Presence::optional,
           [&target](const std::string& given) -> std::optional<std::string> {
             if (given != "true" && given != "false")
               return "must be true or false";
             target = given == "true";
             return std::nullopt;
           });
}

void OptionSet::addPositionals(std::vector<std::string>& target, const std::string& help) {
  positionalsTarget = &target;
  positionalsHelp = help;
}

void OptionSet::bindEnvironment(const std::string& name, const std::string& variable) {
  if (Entry* entry = findEntry(name))
    entry->environmentVariable = variable;
}

void OptionSet::setHelp(std::function<void(const std::vector<std::string>&)> show) {
  showHelp = std::move(show);
}

OptionSet::Entry* OptionSet::findEntry(const std::string& name) {
  auto found = std::find_if(entries.begin(), entries.end(),
                            [&](const Entry& known) { return known.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

std::vector<std::string> OptionSet::givenOnCommandLine() const {
  std::vector<std::string> names;
  for (const auto& entry : entries) {
    if (entry.onCommandLine)
      names.push_back(entry.name);
  }
  return names;
}

std::string OptionSet::describe(const std::vector<std::string>& names) const {
  std::vector<std::pair<std::string, std::string>> lines;
  std::size_t width = 0;
  for (const auto& entry : entries) {
    if (!names.empty() && !std::count(names.begin(), names.end(), entry.name))
      continue;
    const bool isFlag = entry.kind == Entry::Kind::flag;
    std::string text = entry.help;
    if (entry.kind == Entry::Kind::list)
      text += "; may be given several times";
    if (!entry.environmentVariable.empty())
      text += "; or " + entry.environmentVariable;
    lines.emplace_back("--" + entry.name + (isFlag ? "" : " VALUE"), text);
    width = std::max(width, lines.back().first.size());
  }
  std::string text;
  for (const auto& [left, right] : lines) {
    text.append("  ").append(left).append(width + 2 - left.size(), ' ');
    text.append(right).append("\n");
  }
  return text;
}

void OptionSet::assign(Entry& entry, const std::string& value, const std::string& where) {
  entry.isSet = true;
  if (auto error = entry.parse(value))
    errors.push_back(where + ": " + *error);
}

void OptionSet::showHelpOrVersion(const CommandLine& line) const {
  if (line.showVersion && line.showVersion->isSet()) {
    std::cout << program << "  version: " << version << "\n";
    exitProcess(0);
  }
  if (line.help && line.help->isSet()) {
    showHelp(line.words());
    exitProcess(0);
  }
}

std::string OptionSet::readCommandLine(int count, char** values) {
  CommandLine line(purpose, bool(showHelp));
  if (showHelp)
    line.addHelpAndVersion();
  for (auto& entry : entries)
    line.add(entry);
  if (positionalsTarget)
    line.addPositionals(positionalsHelp);
  line.line.parse(count, values);
  if (positionalsTarget)
    *positionalsTarget = line.words();
  showHelpOrVersion(line);
  for (auto& [entry, given] : line.values) {
    for (const auto& value : given()) {
      entry->onCommandLine = true;
      assign(*entry, value, "--" + entry->name);
    }
  }
  return line.file.getValue();
}

void OptionSet::readOptionsFile(const std::string& file) {
  std::ifstream stream(file);
  const std::string bytes((std::istreambuf_iterator<char>(stream)), {});
  picojson::value root;
  const std::string error = stream.is_open() ? parseJson(root, bytes) : "can't be read";
  if (!error.empty())
    return errors.push_back(file + ": " + error);
  if (!root.is<picojson::object>())
    return errors.push_back(file + ": must contain a JSON object");
  for (const auto& [name, value] : root.get<picojson::object>()) {
    std::string where = file;
    where.append(": ").append(name);
    if (Entry* entry = findEntry(name))
      readFileField(where, value, *entry);
    else
      errors.push_back(where + ": is not a known option of " + program);
  }
}

void OptionSet::readFileField(const std::string& where, const picojson::value& value,
                              Entry& entry) {
  if (entry.isSet)
    return;
  auto textOf = [](const picojson::value& item) {
    return item.is<std::string>() ? item.get<std::string>() : item.serialize();
  };
  entry.isSet = true;
  if (!value.is<picojson::array>())
    return assign(entry, textOf(value), where);
  if (entry.kind != Entry::Kind::list)
    return errors.push_back(where + ": accepts only one value, not a list");
  for (const auto& item : value.get<picojson::array>())
    assign(entry, textOf(item), where);
}

void OptionSet::readEnvironment() {
  for (auto& entry : entries) {
    if (entry.isSet || entry.environmentVariable.empty())
      continue;
    const char* given = std::getenv(entry.environmentVariable.c_str());
    if (!given)
      continue;
    const bool isList = entry.kind == Entry::Kind::list;
    std::string text = given;
    if (isList)
      std::replace(text.begin(), text.end(), ',', ' ');
    std::istringstream stream(text);
    for (std::string part; isList ? bool(stream >> part) : bool(std::getline(stream, part));)
      assign(entry, part, entry.environmentVariable);
  }
}

void OptionSet::read(int count, char** values) {
  errors.clear();
  try {
    if (const std::string file = readCommandLine(count, values); !file.empty())
      readOptionsFile(file);
  } catch (const TCLAP::ArgException& error) {
    errors.push_back(error.argId() + ": " + error.error());
  }
  readEnvironment();
  for (const auto& entry : entries) {
    if (entry.presence == Presence::required && !entry.isSet)
      errors.push_back("--" + entry.name + ": is missing");
  }
  if (errors.empty())
    return;
  for (const auto& error : errors)
    std::cerr << program << ": " << error << "\n";
  exitProcess(usageErrorStatus);
}

}  // namespace aniseline
