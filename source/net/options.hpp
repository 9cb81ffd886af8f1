// Options of the programs: flags of the command line (by TCLAP), over variables of the environment,
// over a JSON file of options. Every error is named by its flag, variable or file and field.
// docs/operations.md 2.
#ifndef ANISELINE_NET_OPTIONS_HPP
#define ANISELINE_NET_OPTIONS_HPP
#include "base/json.hpp"

namespace aniseline {

// A program's options: each has a name that is a flag and a field of the options file; a flag wins.
// The program adds its options, each with the variable that takes its value, and calls `read` once.
class OptionSet {
 public:
  enum class Presence : std::uint8_t { optional, required };

  OptionSet(std::string program, std::string purpose);

  // A text that is not empty.
  void addText(const std::string& name, std::string& target, const std::string& help,
               Presence presence = Presence::optional);
  // An IP number and port.
  void addAddress(const std::string& name, Address& target, const std::string& help,
                  Presence presence = Presence::optional);
  // May be given several times.
  void addAddresses(const std::string& name, std::vector<Address>& target, const std::string& help,
                    Presence presence = Presence::optional);
  // A whole number from `low` to `high`; the help shows the target's value as the default, unless
  // that is below `low`.
  void addInteger(const std::string& name, std::int64_t& target, const std::string& help,
                  std::int64_t low, std::int64_t high);
  void addReal(const std::string& name, double& target, const std::string& help, double low,
               double high);
  // False unless it is given.
  void addFlag(const std::string& name, bool& target, const std::string& help);
  // Takes the words that are no flags.
  void addPositionals(std::vector<std::string>& target, const std::string& help);
  // An option not given as a flag or in the file is taken from this variable of the environment; a
  // list's values are parted by commas or blanks.
  void bindEnvironment(const std::string& name, const std::string& variable);
  // Takes the place of the help that TCLAP would print: it is handed the words, prints and returns,
  // and the process ends.
  void setHelp(std::function<void(const std::vector<std::string>& words)> show);

  // An aligned line for each of these options; of all if none is named.
  std::string describe(const std::vector<std::string>& names = {}) const;
  // The options that were flags of the command line.
  std::vector<std::string> givenOnCommandLine() const;
  // Reads all; ends the process with status 2 and a line on standard error for each error.
  void read(int count, char** values);

 private:
  // Takes one value; the error's text, or nothing.
  using Parser = std::function<std::optional<std::string>(const std::string&)>;
  struct Entry {
    enum class Kind : std::uint8_t { single, list, flag };
    std::string name;
    std::string help;
    Kind kind = Kind::single;
    Presence presence = Presence::optional;
    Parser parse;
    std::string environmentVariable{};
    bool isSet = false;
    bool onCommandLine = false;
  };
  struct CommandLine;

  void addEntry(const std::string& name, const std::string& help, Entry::Kind kind,
                Presence presence, Parser parse);
  Entry* findEntry(const std::string& name);
  // Takes a value for an entry; an error is kept under `where`.
  void assign(Entry& entry, const std::string& value, const std::string& where);
  // The name of the options file; empty if none is given.
  std::string readCommandLine(int count, char** values);
  void showHelpOrVersion(const CommandLine& line) const;
  void readOptionsFile(const std::string& file);
  void readFileField(const std::string& where, const picojson::value& value, Entry& entry);
  void readEnvironment();

  std::string program;
  std::string purpose;
  std::vector<Entry> entries;
  std::vector<std::string>* positionalsTarget = nullptr;
  std::string positionalsHelp;
  std::function<void(const std::vector<std::string>&)> showHelp;
  std::vector<std::string> errors;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_OPTIONS_HPP
