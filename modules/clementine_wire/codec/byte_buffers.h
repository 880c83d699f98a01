#ifndef CLEMENTINE_WIRE_CODEC_BYTE_BUFFERS_H
#define CLEMENTINE_WIRE_CODEC_BYTE_BUFFERS_H

#include <streambuf>
#include <string>
#include <string_view>

namespace clementine {

/// A stream buffer that reads from bytes it does not own.
class view_buffer final : public std::streambuf {
public:
  /// @param Bytes must outlive the buffer.
  explicit view_buffer(std::string_view Bytes) {
    char *Begin = const_cast<char *>(Bytes.data());
    setg(Begin, Begin, Begin + Bytes.size());
  }
};

/// A stream buffer that appends to a string it does not own.
class append_buffer final : public std::streambuf {
public:
  /// @param Target must outlive the buffer.
  explicit append_buffer(std::string &Target) : Target(Target) {}

protected:
  std::streamsize xsputn(const char *Bytes, std::streamsize Count) override {
    Target.append(Bytes, static_cast<std::size_t>(Count));
    return Count;
  }
  int_type overflow(int_type Byte) override {
    if (!traits_type::eq_int_type(Byte, traits_type::eof()))
      Target.push_back(traits_type::to_char_type(Byte));
    return traits_type::not_eof(Byte);
  }

private:
  std::string &Target;
};

} // namespace clementine

#endif
