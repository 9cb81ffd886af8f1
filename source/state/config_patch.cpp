// Parsing of configuration patches and their application to a base configuration.
#include "state/config_patch.hpp"
#include "base/json_reader.hpp"

namespace aniseline {

namespace {

constexpr double maxVersion = 9007199254740991.0;  // 2^53 - 1: exact in a double
// Distinguishes digests of patches from those of whole configurations.
constexpr const char* digestPrefix = "config patch:";

CoreError invalid(std::string path, std::string text) {
  return CoreError::at(CoreError::Kind::invalid, std::move(path), std::move(text));
}

const picojson::value& nameOf(const picojson::value& item) {
  return item.get("name");
}

bool hasName(const picojson::value& item) {
  return item.is<picojson::object>() && nameOf(item).is<std::string>() &&
         !nameOf(item).get<std::string>().empty();
}

std::string itemPath(const std::string& section, const std::string& list, std::size_t index) {
  return "/" + section + "/" + list + "/" + std::to_string(index);
}

/// The named items of one list of a configuration, in either of its two forms.
class NamedItems {
 public:
  /// Returns null if the value is not a list of objects.
  static std::unique_ptr<NamedItems> over(picojson::value& list);
  virtual ~NamedItems() = default;
  /// Returns false if there is no such item.
  virtual bool remove(const std::string& name) = 0;
  virtual std::optional<CoreError> upsert(const picojson::value& items,
                                          const std::string& list) = 0;
};

class ItemsInArray : public NamedItems {
 public:
  explicit ItemsInArray(picojson::array& items) : items(items) {}

  bool remove(const std::string& name) override {
    return std::erase_if(items, [&](const picojson::value& item) { return isNamed(item, name); }) >
           0;
  }

  std::optional<CoreError> upsert(const picojson::value& changes,
                                  const std::string& list) override {
    if (!changes.is<picojson::array>())
      return invalid("/upsert/" + list, "must be an array, as in the configuration");
    const auto& additions = changes.get<picojson::array>();
    for (std::size_t index = 0; index < additions.size(); ++index) {
      if (!hasName(additions[index]))
        return invalid(itemPath("upsert", list, index), "must be an object with a name");
      if (auto error = upsertItem(additions[index], itemPath("upsert", list, index)))
        return error;
    }
    return std::nullopt;
  }

 private:
  static bool isNamed(const picojson::value& item, const std::string& name) {
    return hasName(item) && nameOf(item).get<std::string>() == name;
  }

  std::optional<CoreError> upsertItem(const picojson::value& item, const std::string& path) {
    const std::string& name = nameOf(item).get<std::string>();
    if (!upserted.insert(name).second)
      return invalid(path + "/name", "occurs twice in the patch");
    const auto matches = [&](const picojson::value& other) {
      return isNamed(other, name);
    };
    const auto found = std::find_if(items.begin(), items.end(), matches);
    if (found == items.end()) {
      items.push_back(item);
      return std::nullopt;
    }
    if (std::find_if(found + 1, items.end(), matches) != items.end())
      return invalid(path + "/name", "names more than one item of the configuration");
    *found = item;
    return std::nullopt;
  }

  picojson::array& items;
  std::set<std::string> upserted;
};

class ItemsByName : public NamedItems {
 public:
  explicit ItemsByName(picojson::object& items) : items(items) {}

  bool remove(const std::string& name) override { return items.erase(name) > 0; }

  std::optional<CoreError> upsert(const picojson::value& changes,
                                  const std::string& list) override {
    if (!changes.is<picojson::object>())
      return invalid("/upsert/" + list, "must be an object, as in the configuration");
    for (const auto& [name, item] : changes.get<picojson::object>()) {
      if (!item.is<picojson::object>())
        return invalid("/upsert/" + list + "/" + name, "must be an object");
      items[name] = item;
    }
    return std::nullopt;
  }

 private:
  picojson::object& items;
};

std::unique_ptr<NamedItems> NamedItems::over(picojson::value& list) {
  const auto isObject = [](const picojson::value& item) {
    return item.is<picojson::object>();
  };
  if (list.is<picojson::array>()) {
    auto& items = list.get<picojson::array>();
    if (!std::all_of(items.begin(), items.end(), isObject))
      return nullptr;
    return std::make_unique<ItemsInArray>(items);
  }
  if (!list.is<picojson::object>())
    return nullptr;
  auto& items = list.get<picojson::object>();
  if (!std::all_of(items.begin(), items.end(),
                   [&](const auto& named) { return isObject(named.second); }))
    return nullptr;
  return std::make_unique<ItemsByName>(items);
}

/// Finds a list of the base. The path of the error is in the patch's section.
Result<std::unique_ptr<NamedItems>> findItems(picojson::object& root, const std::string& section,
                                              const std::string& list) {
  const auto found = root.find(list);
  auto items = found == root.end() ? nullptr : NamedItems::over(found->second);
  if (!items)
    return invalid("/" + section + "/" + list,
                   "the configuration has no list of this name whose items have names");
  return items;
}

std::optional<CoreError> removeItems(picojson::object& root, const std::string& list,
                                     const std::vector<std::string>& names) {
  auto items = findItems(root, "remove", list);
  if (!items)
    return items.error();
  for (std::size_t index = 0; index < names.size(); ++index) {
    if (!items.value()->remove(names[index]))
      return invalid(itemPath("remove", list, index), "names no item of the configuration");
  }
  return std::nullopt;
}

ConfigPatch::Removals readRemovals(const picojson::value& value, const picojson::object& lists,
                                   std::vector<ErrorDetail>& errors) {
  ConfigPatch::Removals removals;
  JsonObjectReader reader(value, "/remove", errors);
  for (const auto& [list, names] : lists)
    removals[list] = reader.texts(list, "must contain names of items");
  return removals;
}

}  // namespace

Result<ConfigPatch> ConfigPatch::parse(const std::string& text) {
  picojson::value root;
  const std::string parseError = parseJson(root, text, true);
  if (!parseError.empty())
    return invalid("", "is not JSON: " + parseError);
  ConfigPatch patch;
  std::vector<ErrorDetail> errors;
  {
    JsonObjectReader reader(root, "", errors);
    reader.readInteger("version", patch.givenVersion.value, 1, maxVersion);
    if (const auto* lists = reader.object("upsert"))
      patch.upserts = *lists;
    if (const auto* lists = reader.object("remove"))
      patch.removals = readRemovals(*reader.find("remove"), *lists, errors);
  }
  if (!errors.empty())
    return CoreError{CoreError::Kind::invalid, std::move(errors)};
  return patch;
}

TextDigest ConfigPatch::digestOf(const std::string& text) {
  return TextDigest::of(digestPrefix + text);
}

std::string configPatchDigest(const std::string& text) {
  picojson::value root;
  if (!parseJson(root, text).empty())
    return "";
  return ConfigPatch::digestOf(root.serialize()).text();
}

// Removals are applied first, so an item that is both removed and added moves to the end of its
// list.
Result<std::string> ConfigPatch::applyTo(const std::string& baseText) const {
  picojson::value root;
  if (!parseJson(root, baseText).empty() || !root.is<picojson::object>())
    return invalid("", "there is no configuration to patch");
  auto& fields = root.get<picojson::object>();
  for (const auto& [list, names] : removals) {
    if (auto error = removeItems(fields, list, names))
      return std::move(*error);
  }
  for (const auto& [list, changes] : upserts) {
    auto items = findItems(fields, "upsert", list);
    if (!items)
      return items.error();
    if (auto error = items.value()->upsert(changes, list))
      return std::move(*error);
  }
  fields.erase("version");
  if (givenVersion.value)
    fields["version"] = json(givenVersion.value);
  return root.serialize();
}

}  // namespace aniseline
