// A cursor that looks up ascending keys in a map by advancing through it. This is cheaper than a
// search for each key when most keys are looked up.
#ifndef ANISELINE_SCHEDULING_SORTED_MAP_CURSOR_HPP
#define ANISELINE_SCHEDULING_SORTED_MAP_CURSOR_HPP
#include <map>

namespace aniseline::scheduling {

template <class Key, class Value>
class SortedMapCursor {
 public:
  explicit SortedMapCursor(const std::map<Key, Value>& map)
      : position(map.begin()), end(map.end()) {}

  /// Returns the value of the key, or null. No key may be smaller than that of the previous call.
  const Value* find(const Key& key) {
    while (position != end && position->first < key)
      ++position;
    return position != end && position->first == key ? &position->second : nullptr;
  }

 private:
  typename std::map<Key, Value>::const_iterator position;
  typename std::map<Key, Value>::const_iterator end;
};

}  // namespace aniseline::scheduling

#endif  // ANISELINE_SCHEDULING_SORTED_MAP_CURSOR_HPP
