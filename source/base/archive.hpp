// Input and output archives for Boost.Serialization that work on a byte string in memory.
// docs/design.md 9.3.
// Boost's own binary archives set up a stream, a locale and a registry of types and objects for
// every record, and write class and object ids for each variant. These archives write plain values
// only: no class ids, versions or object tracking, and numbers in their in-memory representation.
#ifndef ANISELINE_BASE_ARCHIVE_HPP
#define ANISELINE_BASE_ARCHIVE_HPP
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

#include <boost/mpl/bool.hpp>
#include <boost/serialization/collection_size_type.hpp>
#include <boost/serialization/item_version_type.hpp>
#include <boost/serialization/library_version_type.hpp>
#include <boost/serialization/nvp.hpp>
#include <boost/serialization/serialization.hpp>
#include <boost/variant.hpp>

namespace aniseline {

// Flag bit in the length of a string: the string is followed by a section that a later version of
// the format added.
inline constexpr std::uint64_t sectionFollowsFlag = std::uint64_t(1) << 63;

// Types whose in-memory representation is written unchanged.
template <class Value>
concept PlainNumber = std::is_arithmetic_v<Value> || std::is_enum_v<Value>;

class OutputArchive {
 public:
  using is_saving = boost::mpl::true_;
  using is_loading = boost::mpl::false_;
  boost::serialization::library_version_type get_library_version() const {
    return boost::serialization::library_version_type(18);
  }

  template <class Value>
  OutputArchive& operator&(const Value& value) {
    return *this << value;
  }
  template <class Value>
  OutputArchive& operator<<(const Value& value) {
    if constexpr (PlainNumber<Value>)
      bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
    else
      boost::serialization::serialize_adl(*this, const_cast<Value&>(value), 0);
    return *this;
  }
  template <class Value>
  OutputArchive& operator<<(const boost::serialization::nvp<Value>& named) {
    return *this << named.const_value();
  }
  template <class... Kinds>
  OutputArchive& operator<<(const boost::variant<Kinds...>& value) {
    *this << std::uint32_t(value.which());
    boost::apply_visitor([&](const auto& kind) { *this << kind; }, value);
    return *this;
  }
  OutputArchive& operator<<(const std::string& text) {
    *this << std::uint64_t(text.size());
    bytes += text;
    return *this;
  }
  OutputArchive& operator<<(const boost::serialization::collection_size_type& size) {
    return *this << std::uint64_t(size);
  }
  OutputArchive& operator<<(const boost::serialization::item_version_type&) { return *this; }
  /// See serializeTrailingSection().
  template <class Section>
  void trailingSection(const Section& section) {
    if (!isAbsent(section))
      *this << section;
  }
  /// See serializeTextWithSection().
  template <class Section>
  void textWithSection(const std::string& text, const Section& section) {
    const bool hasSection = !isAbsent(section);
    *this << (std::uint64_t(text.size()) | (hasSection ? sectionFollowsFlag : 0));
    bytes += text;
    if (hasSection)
      *this << section;
  }

  std::string bytes;
};

// Reads values from bytes that outlive the archive. Throws std::runtime_error if the bytes end too
// early or hold an unknown variant index or an invalid flag.
class InputArchive {
 public:
  using is_saving = boost::mpl::false_;
  using is_loading = boost::mpl::true_;
  explicit InputArchive(std::string_view bytes) : remaining(bytes) {}
  boost::serialization::library_version_type get_library_version() const {
    return boost::serialization::library_version_type(18);
  }
  void reset_object_address(const void*, const void*) {}  // objects are not tracked

  template <class Value>
  InputArchive& operator&(Value& value) {
    return *this >> value;
  }
  template <class Value>
  InputArchive& operator>>(Value& value) {
    if constexpr (PlainNumber<Value>)
      std::memcpy(&value, takeBytes(sizeof value).data(), sizeof value);
    else
      boost::serialization::serialize_adl(*this, value, 0);
    return *this;
  }
  template <class Value>
  InputArchive& operator>>(const boost::serialization::nvp<Value>& named) {
    return *this >> named.value();
  }
  template <class... Kinds>
  InputArchive& operator>>(boost::variant<Kinds...>& value) {
    using Variant = boost::variant<Kinds...>;
    static constexpr void (*loads[])(InputArchive&,
                                     Variant&) = {&InputArchive::load<Variant, Kinds>...};
    std::uint32_t which = 0;
    *this >> which;
    if (which >= sizeof...(Kinds))
      throw std::runtime_error("variant index " + std::to_string(which) + " is unknown");
    loads[which](*this, value);
    return *this;
  }
  InputArchive& operator>>(bool& flag) {
    std::uint8_t byte = 0;
    *this >> byte;
    if (byte > 1)
      throw std::runtime_error("a boolean is neither 0 nor 1");
    flag = byte == 1;
    return *this;
  }
  InputArchive& operator>>(std::string& text) {
    std::uint64_t size = 0;
    *this >> size;
    text = takeBytes(size);
    return *this;
  }
  // Each element takes at least one byte, so a corrupt count larger than the remaining bytes is
  // rejected before memory is reserved for it.
  InputArchive& operator>>(boost::serialization::collection_size_type& size) {
    std::uint64_t count = 0;
    *this >> count;
    if (count > remaining.size())
      throw std::runtime_error("unexpected end of data");
    size = boost::serialization::collection_size_type(count);
    return *this;
  }
  InputArchive& operator>>(boost::serialization::item_version_type&) { return *this; }
  /// See serializeTrailingSection().
  template <class Section>
  void trailingSection(Section& section) {
    section = Section{};
    if (!remaining.empty())
      *this >> section;
  }
  /// See serializeTextWithSection().
  template <class Section>
  void textWithSection(std::string& text, Section& section) {
    std::uint64_t size = 0;
    *this >> size;
    text = takeBytes(size & ~sectionFollowsFlag);
    section = Section{};
    if (size & sectionFollowsFlag)
      *this >> section;
  }

 private:
  template <class Variant, class Kind>
  static void load(InputArchive& archive, Variant& value) {
    Kind kind{};
    archive >> kind;
    value = std::move(kind);
  }
  std::string_view takeBytes(std::uint64_t size) {
    if (size > remaining.size())
      throw std::runtime_error("unexpected end of data");
    const auto taken = remaining.substr(0, size);
    remaining.remove_prefix(size);
    return taken;
  }
  std::string_view remaining;
};

/// Serializes a string and, if it is not absent, a section that was added to the format later.
/// Without a section the bytes equal those of the string alone, so previously stored data stays
/// readable and is written unchanged. A program that does not know the section sees a string length
/// beyond the end of the bytes and rejects the record. docs/design.md 9.3.
template <class Archive, class Section>
void serializeTextWithSection(Archive& archive, std::string& text, Section& section) {
  archive.textWithSection(text, section);
}

/// Serializes a section that was added later at the end of a record, if it is not absent. Nothing
/// may follow it in the record. Without it the bytes equal those of the earlier format. A program
/// that does not know the section ignores it. docs/design.md 9.3.
template <class Archive, class Section>
void serializeTrailingSection(Archive& archive, Section& section) {
  archive.trailingSection(section);
}

}  // namespace aniseline

#endif  // ANISELINE_BASE_ARCHIVE_HPP
