// Reads the options of a program from the command line (with TCLAP), a JSON options file and
// environment variables, in this order of precedence. Every error names the flag, the variable, or
// the file and field. docs/operations.md 2.
#ifndef ANISELINE_NET_OPTIONS_HPP
#define ANISELINE_NET_OPTIONS_HPP
#include "base/json.hpp"

namespace aniseline {

// The options of a program. The name of an option is its flag on the command line and its field in
// the options file; the flag takes precedence. The program adds its options, each with a variable
// to store the value in, and calls `read` once.
class OptionSet {
 public:
  enum class Presence : std::uint8_t { optional, required };

  OptionSet(std::string program, std::string purpose);

  // Adds an option with a non-empty text.
  void addText(const std::string& name, std::string& target, const std::string& help,
               Presence presence = Presence::optional);
  // Adds an option with an IP address and port.
  void addAddress(const std::string& name, Address& target, const std::string& help,
                  Presence presence = Presence::optional);
  // Adds an option with an IP address and port that may be given several times.
  void addAddresses(const std::string& name, std::vector<Address>& target, const std::string& help,
                    Presence presence = Presence::optional);
  // Adds an option with a whole number from `low` to `high`. The help shows the target's value as
  // the default, unless it is below `low`.
  void addInteger(const std::string& name, std::int64_t& target, const std::string& help,
                  std::int64_t low, std::int64_t high);
  // Adds an option with a number from `low` to `high`.
  void addReal(const std::string& name, double& target, const std::string& help, double low,
               double high);
  // Adds a flag, which is true if it is given.
  void addFlag(const std::string& name, bool& target, const std::string& help);
  // Stores the positional arguments of the command line in `target`.
  void addPositionals(std::vector<std::string>& target, const std::string& help);
  // Sets the environment variable for an option; it is used if the option is given neither as a
  // flag nor in the options file. The values of a list are separated by commas or spaces.
  void bindEnvironment(const std::string& name, const std::string& variable);
  // Replaces the help that TCLAP would print. `show` receives the positional arguments and prints
  // the help; the process exits when it returns.
  void setHelp(std::function<void(const std::vector<std::string>& words)> show);

  // Returns one aligned line of help for each of these options, or for all options if `names` is
  // empty.
  std::string describe(const std::vector<std::string>& names = {}) const;
  // Returns the names of the options that were given on the command line.
  std::vector<std::string> givenOnCommandLine() const;
  // Reads all options. If there are errors, prints one line to standard error for each and exits
  // with status 2.
  void read(int count, char** values);

 private:
  // Parses and stores one value; returns the text of an error, or nothing.
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
  // Sets the value of an entry; an error is recorded with the prefix `where`.
  void assign(Entry& entry, const std::string& value, const std::string& where);
  // Reads the command line and returns the name of the options file; empty if none is given.
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
