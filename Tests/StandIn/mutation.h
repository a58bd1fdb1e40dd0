// Random changes to valid texts and records, for tests of readers of bytes that
// other programs write.
#ifndef BALSAMHALL_TESTS_STANDIN_MUTATION_H_
#define BALSAMHALL_TESTS_STANDIN_MUTATION_H_

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace balsamhall::stand_in {

// Returns the half-open range of seeds: the first ones, or FIRST:COUNT of the
// environment variable BALSAMHALL_ODD_SEEDS for a longer manual run.
inline std::pair<int, int> OddSeeds(int count) {
  const char* const text = std::getenv("BALSAMHALL_ODD_SEEDS");
  int first = 1;
  if (text != nullptr) std::sscanf(text, "%d:%d", &first, &count);
  return {first, first + count};
}

// Returns a value that is nested in this many arrays.
inline std::string Nested(std::size_t depth, const std::string& value = "1") {
  return std::string(depth, '[') + value + std::string(depth, ']');
}

// Changes bytes and digits, removes and repeats parts, and inserts odd values.
class Mutation {
 public:
  explicit Mutation(unsigned seed) : random_(seed) {}

  std::string operator()(std::string text) {
    for (int changes = Below(4) + 1; changes > 0; --changes) Change(text);
    return text;
  }

  int Below(std::size_t limit) {
    return std::uniform_int_distribution<int>(
        0, static_cast<int>(std::max<std::size_t>(limit, 1)) - 1)(random_);
  }

 private:
  void Change(std::string& text) {
    static const std::vector<std::string> kOdd = {"null",
                                                  "-1",
                                                  "1e999",
                                                  "0",
                                                  "99999",
                                                  "9223372036854775808",
                                                  "18446744073709551615",
                                                  "\"",
                                                  "\\",
                                                  "{}",
                                                  "[]",
                                                  "{",
                                                  "}",
                                                  "[",
                                                  "]",
                                                  ",",
                                                  ":",
                                                  "\xff",
                                                  std::string(1, '\0'),
                                                  "\r\n",
                                                  "1.5",
                                                  "true",
                                                  "\"\"",
                                                  std::string(300, 'k'),
                                                  Nested(2'000),
                                                  std::string(2'000, '[')};
    const auto at = static_cast<std::size_t>(Below(text.size()));
    const auto length = static_cast<std::size_t>(Below(9)) + 1;
    const std::string& odd = kOdd[static_cast<std::size_t>(Below(kOdd.size()))];
    switch (Below(7)) {
      case 0:
        if (!text.empty()) text[at] = static_cast<char>(Below(256));
        return;
      case 1:
        text.erase(at, length);
        return;
      case 2:
        text.insert(at, text.substr(at, length));
        return;
      case 3:
        text.resize(at);
        return;
      case 4:
        return ReplaceFrom(text, at, "0123456789", odd);
      case 5:
        return ReplaceFrom(text, at, "abcdefghijklmnopqrstuvwxyz", odd);
      default:
        text.insert(at, odd);
    }
  }

  // Replaces the next run of these characters.
  static void ReplaceFrom(std::string& text, std::size_t at, const char* run,
                          const std::string& odd) {
    const auto begin = text.find_first_of(run, at);
    if (begin == std::string::npos) return;
    const auto end = std::min(text.find_first_not_of(run, begin), text.size());
    text.replace(begin, end - begin, odd);
  }

  std::mt19937 random_;
};

}  // namespace balsamhall::stand_in

#endif  // BALSAMHALL_TESTS_STANDIN_MUTATION_H_
