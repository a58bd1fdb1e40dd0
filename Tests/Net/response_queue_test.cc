// Guards against responses that reach a caller in another order than its
// requests, and against lengths that would merge two responses into one.
#include "net/response_queue.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace balsamhall {
namespace {

namespace data = boost::unit_test::data;

ResponseQueue::Request Queued(std::uint64_t number, bool may_be_overtaken) {
  ResponseQueue::Request request;
  request.number = number;
  request.may_be_overtaken = may_be_overtaken;
  return request;
}

struct OrderCase {
  std::vector<std::uint64_t> finished;  // in this order
  std::vector<std::size_t> written;     // in all, after each of them
};
std::ostream& operator<<(std::ostream& out, const OrderCase& input) {
  for (const auto number : input.finished) out << number;
  return out;
}
const OrderCase kOrders[] = {
    {{1, 2, 3, 4}, {1, 2, 3, 4}},
    {{4, 3, 2, 1}, {0, 0, 0, 4}},
    {{2, 1, 4, 3}, {0, 2, 2, 4}},
    {{1, 4, 4, 2, 7, 3}, {1, 1, 1, 2, 2, 4}},  // twice, and an unknown one
};

BOOST_DATA_TEST_CASE(responses_leave_in_the_order_of_requests,
                     data::make(kOrders), input) {
  ResponseQueue queue;
  for (std::uint64_t number = 1; number <= 4; ++number) {
    queue.Add(Queued(number, true));
  }
  std::vector<std::string> written;
  for (std::size_t i = 0; i < input.finished.size(); ++i) {
    queue.SetResponse(input.finished[i],
                      {200, {}, std::to_string(input.finished[i])});
    while (const auto* next = queue.Next()) {
      written.push_back(next->response.body);
      queue.PopFront();
    }
    BOOST_TEST(written.size() == input.written[i]);
    BOOST_TEST(queue.size() == 4 - written.size());
  }
  BOOST_TEST(written == (std::vector<std::string>{"1", "2", "3", "4"}),
             boost::test_tools::per_element());
  BOOST_TEST(queue.response_bytes() == 0U);
  BOOST_TEST(queue.unanswered() == 0U);
}

// Guards against requests that run beside one which may not be repeated.
BOOST_AUTO_TEST_CASE(nothing_overtakes_a_request_that_holds_others_back) {
  ResponseQueue queue;
  BOOST_TEST(queue.MayOvertake());
  queue.Add(Queued(1, true));
  BOOST_TEST(queue.MayOvertake());
  queue.Add(Queued(2, false));
  BOOST_TEST(!queue.MayOvertake());
  queue.SetResponse(1, {200, {}, ""});
  queue.PopFront();
  queue.SetResponse(2, {200, {}, ""});
  BOOST_TEST(!queue.MayOvertake());
  queue.PopFront();
  BOOST_TEST(queue.MayOvertake());
}

struct LengthCase {
  const char* name;
  unsigned status;
  bool head_only;
  HttpHeaders headers;
  std::string body;
  std::string declared;
  std::string sent;
};
std::ostream& operator<<(std::ostream& out, const LengthCase& input) {
  return out << input.name;
}
const LengthCase kLengths[] = {
    {"plain", 200, false, {}, "body", "", "body"},
    {"same length", 200, false, {{"Content-Length", "4"}}, "body", "4", "body"},
    {"too long", 200, false, {{"content-length", "9"}}, "body", "", "body"},
    {"HEAD", 200, true, {{"Content-Length", "9"}}, "", "9", ""},
    {"HEAD, rejected", 503, true, {}, "body", "4", ""},
    {"not modified", 304, false, {{"Content-Length", "9"}}, "", "9", ""},
};

BOOST_DATA_TEST_CASE(a_length_that_misleads_is_not_sent, data::make(kLengths),
                     input) {
  HttpResponse response{input.status, input.headers, input.body};
  FixLength(response, input.head_only);
  BOOST_TEST(FindHeader(response.headers, "Content-Length") == input.declared);
  BOOST_TEST(response.body == input.sent);
}

}  // namespace
}  // namespace balsamhall
