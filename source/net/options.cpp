#include "net/options.hpp"
#include "base/json.hpp"
#include "net/event_loop.hpp"
#include <cmath>
#include <fstream>
#include <iostream>
#include <sstream>

namespace aniseline {

OptionSet::OptionSet(std::string program, std::string purpose)
    : program(std::move(program)), purpose(std::move(purpose)) {}

void OptionSet::addEntry(Entry entry) {
  entries.push_back(std::move(entry));
}

void OptionSet::addText(const std::string& name, std::string& target, const std::string& help,
                        bool needed) {
  Entry entry{name, help, needed, false, false, {}, {}, {}, false};
  entry.parse = [&target](const std::string& given) -> std::optional<std::string> {
    if (given.empty())
      return "must not be empty";
    target = given;
    return std::nullopt;
  };
  addEntry(std::move(entry));
}
void OptionSet::addAddress(const std::string& name, Address& target, const std::string& help,
                           bool needed) {
  Entry entry{name, help, needed, false, false, {}, {}, {}, false};
  entry.parse = [&target](const std::string& given) -> std::optional<std::string> {
    auto endpoint = parseEndpoint(Address{given});
    if (!endpoint)
      return endpoint.error().text();
    target = Address{given};
    return std::nullopt;
  };
  addEntry(std::move(entry));
}
void OptionSet::addAddresses(const std::string& name, std::vector<Address>& target,
                             const std::string& help, bool needed) {
  Entry entry{name, help, needed, false, true, {}, {}, {}, false};
  entry.parse = [&target](const std::string& given) -> std::optional<std::string> {
    auto endpoint = parseEndpoint(Address{given});
    if (!endpoint)
      return endpoint.error().text();
    target.push_back(Address{given});
    return std::nullopt;
  };
  addEntry(std::move(entry));
}
void OptionSet::addInteger(const std::string& name, std::int64_t& target, const std::string& help,
                           std::int64_t low, std::int64_t high) {
  Entry entry{name,  target < low ? help : help + " (" + std::to_string(target) + ")",
              false, false,
              false, {},
              {},    {},
              false};
  entry.parse = [&target, low, high](const std::string& given) -> std::optional<std::string> {
    char* end = nullptr;
    errno = 0;
    const auto number = std::strtoll(given.c_str(), &end, 10);
    if (given.empty() || *end || errno || number < low || number > high)
      return "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    target = number;
    return std::nullopt;
  };
  addEntry(std::move(entry));
}
void OptionSet::addReal(const std::string& name, double& target, const std::string& help,
                        double low, double high) {
  Entry entry{name, help, false, false, false, {}, {}, {}, false};
  entry.parse = [&target, low, high](const std::string& given) -> std::optional<std::string> {
    char* end = nullptr;
    const double number = std::strtod(given.c_str(), &end);
    if (given.empty() || *end || !(number >= low && number <= high))
      return "must be a number from " + std::to_string(low) + " to " + std::to_string(high);
    target = number;
    return std::nullopt;
  };
  addEntry(std::move(entry));
}
void OptionSet::addFlag(const std::string& name, bool& target, const std::string& help) {
  Entry entry{name, help, false, true, false, {}, {}, {}, false};
  entry.parse = [&target](const std::string& given) -> std::optional<std::string> {
    if (given != "true" && given != "false")
      return "must be true or false";
    target = given == "true";
    return std::nullopt;
  };
  addEntry(std::move(entry));
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
  for (const auto& entry : entries)
    if (entry.onCommandLine)
      names.push_back(entry.name);
  return names;
}
std::string OptionSet::describe(const std::vector<std::string>& names) const {
  std::vector<std::pair<std::string, std::string>> lines;
  std::size_t width = 0;
  for (const auto& entry : entries) {
    if (!names.empty() && !std::count(names.begin(), names.end(), entry.name))
      continue;
    lines.emplace_back(
        "--" + entry.name + (entry.isFlag ? "" : " VALUE"),
        entry.help + (entry.isList ? "; may be given several times" : "") +
            (entry.environmentVariable.empty() ? "" : "; or " + entry.environmentVariable));
    width = std::max(width, lines.back().first.size());
  }
  std::string text;
  for (const auto& [left, right] : lines)
    text += "  " + left + std::string(width + 2 - left.size(), ' ') + right + "\n";
  return text;
}

void OptionSet::readCommandLine(int count, char** values, std::string& file) {
  TCLAP::CmdLine line(purpose, ' ', "0.1.0", !showHelp);
  std::unique_ptr<TCLAP::SwitchArg> helpArg, versionArg;
  if (showHelp) {
    helpArg = std::make_unique<TCLAP::SwitchArg>("h", "help", "this text", line);
    versionArg = std::make_unique<TCLAP::SwitchArg>("", "version", "which version this is", line);
  }
  TCLAP::ValueArg<std::string> fileArg("", "options",
                                       "a JSON file of these options, by their names; a flag wins",
                                       false, "", "file", line);
  for (auto& entry : entries) {
    if (entry.isFlag) {
      auto arg = std::make_shared<TCLAP::SwitchArg>("", entry.name, entry.help, line);
      entry.argumentValues = [arg] {
        return arg->isSet() ? std::vector<std::string>{"true"} : std::vector<std::string>{};
      };
      entry.arg = arg;
    } else if (entry.isList) {
      auto arg = std::make_shared<TCLAP::MultiArg<std::string>>("", entry.name, entry.help, false,
                                                                "value", line);
      entry.argumentValues = [arg] {
        return arg->getValue();
      };
      entry.arg = arg;
    } else {
      auto arg = std::make_shared<TCLAP::ValueArg<std::string>>("", entry.name, entry.help, false,
                                                                "", "value", line);
      entry.argumentValues = [arg] {
        return arg->isSet() ? std::vector<std::string>{arg->getValue()}
                            : std::vector<std::string>{};
      };
      entry.arg = arg;
    }
  }
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> rest;
  if (positionalsTarget)
    rest = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>("words", positionalsHelp, false,
                                                                   "words", line);
  line.parse(count, values);
  if (rest)
    *positionalsTarget = rest->getValue();
  if (versionArg && versionArg->isSet()) {
    std::cout << program << "  version: " << line.getVersion() << "\n";
    std::exit(0);
  }
  if (helpArg && helpArg->isSet()) {
    showHelp(rest ? rest->getValue() : std::vector<std::string>{});
    std::exit(0);
  }
  for (auto& entry : entries)
    for (const auto& given : entry.argumentValues()) {
      entry.isSet = entry.onCommandLine = true;
      if (auto fault = entry.parse(given))
        errors.push_back("--" + entry.name + ": " + *fault);
    }
  file = fileArg.getValue();
}

void OptionSet::readOptionsFile(const std::string& file) {
  std::ifstream stream(file);
  std::string bytes((std::istreambuf_iterator<char>(stream)), {});
  picojson::value root;
  const std::string error = !stream.is_open()      ? "can't be read"
                            : nestedTooDeep(bytes) ? "is nested too deep"
                                                   : parseJson(root, bytes);
  if (!error.empty())
    return errors.push_back(file + ": " + error);
  if (!root.is<picojson::object>())
    return errors.push_back(file + ": must be an object");
  for (const auto& [name, value] : root.get<picojson::object>()) {
    if (Entry* entry = findEntry(name))
      readFileField(file + ": " + name + ": ", value, *entry);
    else
      errors.push_back(file + ": " + name + ": is not a known option of " + program);
  }
}
void OptionSet::readFileField(const std::string& where, const picojson::value& value,
                              Entry& entry) {
  if (entry.isSet)
    return;
  auto text = [](const picojson::value& item) {
    return item.is<std::string>() ? item.get<std::string>() : item.serialize();
  };
  std::vector<std::string> given;
  if (!value.is<picojson::array>())
    given.push_back(text(value));
  else if (!entry.isList)
    errors.push_back(where + "must not be a list");
  else
    for (const auto& item : value.get<picojson::array>())
      given.push_back(text(item));
  for (const auto& item : given)
    if (auto fault = entry.parse(item))
      errors.push_back(where + *fault);
  entry.isSet = true;
}

void OptionSet::readEnvironment() {
  for (auto& entry : entries) {
    const char* given = entry.isSet || entry.environmentVariable.empty()
                            ? nullptr
                            : std::getenv(entry.environmentVariable.c_str());
    if (!given)
      continue;
    std::string text = given;
    if (entry.isList)
      std::replace(text.begin(), text.end(), ',', ' ');
    std::istringstream stream(text);
    std::vector<std::string> parts;
    for (std::string part; entry.isList ? bool(stream >> part) : bool(std::getline(stream, part));)
      parts.push_back(part);
    for (const auto& part : parts) {
      entry.isSet = true;
      if (auto fault = entry.parse(part))
        errors.push_back(entry.environmentVariable + ": " + *fault);
    }
  }
}

void OptionSet::read(int count, char** values) {
  errors.clear();
  try {
    std::string file;
    readCommandLine(count, values, file);
    if (!file.empty())
      readOptionsFile(file);
  } catch (const TCLAP::ArgException& error) {
    errors.push_back(error.argId() + ": " + error.error());
  }
  readEnvironment();
  for (const auto& entry : entries)
    if (entry.required && !entry.isSet)
      errors.push_back("--" + entry.name + ": is missing");
  if (errors.empty())
    return;
  for (const auto& fault : errors)
    std::cerr << program << ": " << fault << "\n";
  std::exit(2);
}

}  // namespace aniseline
