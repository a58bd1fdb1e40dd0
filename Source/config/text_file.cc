#include "config/text_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace balsamhall {
namespace {

// Far larger than any configuration; prevents a wrong path, such as a device,
// from exhausting memory.
constexpr std::size_t kMaxBytes = 16U << 20U;

}  // namespace

Result<std::string> ReadTextFile(const std::string& path) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Error{ResultCode::kOperatorFileMissing,
                 path + ": " + std::strerror(errno)};
  }
  std::string text(kMaxBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  const auto count = static_cast<std::size_t>(file.gcount());
  if (file.bad() || (!file.eof() && count < text.size())) {
    return Error{ResultCode::kOperatorFileMissing, path + ": can't be read"};
  }
  if (count > kMaxBytes) {
    return Error{ResultCode::kOperatorFileMissing,
                 path + ": is larger than 16 MiB"};
  }
  text.resize(count);
  return text;
}

}  // namespace balsamhall
