// Command lines (TCLAP) over an options file (JSON): every fault is named by file and field.
// docs/operations.md 2.
#ifndef ANISELINE_NET_OPTIONS_HPP
#define ANISELINE_NET_OPTIONS_HPP
#include "state/api_request.hpp"
#include <tclap/CmdLine.h>

namespace aniseline {

// A program's options: each has a name that is a flag and a field of the options file; a flag wins.
class OptionSet {
 public:
  OptionSet(std::string program, std::string purpose);
  void addText(const std::string& name, std::string& target, const std::string& help,
               bool needed = false);
  void addAddress(const std::string& name, Address& target, const std::string& help,
                  bool needed = false);
  void addAddresses(const std::string& name, std::vector<Address>& target, const std::string& help,
                    bool needed = false);
  void addInteger(const std::string& name, std::int64_t& target, const std::string& help,
                  std::int64_t low, std::int64_t high);
  void addReal(const std::string& name, double& target, const std::string& help, double low,
               double high);
  void addFlag(const std::string& name, bool& target, const std::string& help);
  // Words that are no flags; at most this many.
  void addPositionals(std::vector<std::string>& target, const std::string& help);
  // An option not given otherwise is taken from this variable of the environment; a list's values
  // are parted by commas or blanks.
  void bindEnvironment(const std::string& name, const std::string& variable);
  // Takes the place of the help that TCLAP would print: it is handed the words, prints and returns,
  // and the process ends.
  void setHelp(std::function<void(const std::vector<std::string>& words)> show);
  // An aligned line for each of these options; of all if none is named.
  std::string describe(const std::vector<std::string>& names = {}) const;
  // The options that were flags of the command line.
  std::vector<std::string> givenOnCommandLine() const;
  // Reads all; ends the process with status 2 and a plain line for each fault.
  void read(int count, char** values);

 private:
  struct Entry {
    std::string name, help;
    bool required = false, isFlag = false, isList = false;
    std::function<std::optional<std::string>(const std::string&)> parse;
    std::shared_ptr<TCLAP::Arg> arg;
    std::function<std::vector<std::string>()> argumentValues;
    bool isSet = false, onCommandLine = false;
    std::string environmentVariable{};  // of the environment
  };
  void addEntry(Entry entry);
  Entry* findEntry(const std::string& name);
  void readCommandLine(int count, char** values, std::string& file);
  void readOptionsFile(const std::string& file);
  void readFileField(const std::string& where, const picojson::value& value, Entry& entry);
  void readEnvironment();
  std::string program, purpose;
  std::vector<Entry> entries;
  std::vector<std::string>* positionalsTarget = nullptr;
  std::string positionalsHelp;
  std::function<void(const std::vector<std::string>&)> showHelp;
  std::vector<std::string> errors;
};

}  // namespace aniseline

#endif  // ANISELINE_NET_OPTIONS_HPP
