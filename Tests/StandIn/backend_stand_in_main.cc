#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <vector>

#include "StandIn/backend_stand_in.h"

namespace balsamhall {
namespace {

Microseconds FromMs(double ms) {
  return Microseconds(static_cast<std::int64_t>(ms * 1000));
}

std::pair<std::string, Microseconds> ParseKindTime(const std::string& text) {
  const std::size_t mark = text.find('=');
  if (mark == std::string::npos) {
    throw std::invalid_argument("not kind=ms: " + text);
  }
  return {text.substr(0, mark), FromMs(std::stod(text.substr(mark + 1)))};
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Stand-ins for backend servers. With --count N, N endpoints listen on "
      "consecutive ports and are called NAME-1 to NAME-N.",
      ' ');
  TCLAP::ValueArg<std::string> address("", "address", "First address", true, "",
                                       "ip:port", command);
  TCLAP::ValueArg<std::string> name("", "name", "Endpoint name", true, "",
                                    "name", command);
  TCLAP::ValueArg<unsigned> count("", "count", "Endpoints in this process",
                                  false, 1, "n", command);
  TCLAP::ValueArg<unsigned> first("", "first", "Number of the first endpoint",
                                  false, 1, "n", command);
  TCLAP::ValueArg<unsigned> slots("", "slots", "Slots of an endpoint", false, 2,
                                  "n", command);
  TCLAP::ValueArg<unsigned> connections("", "connections",
                                        "Connections of an endpoint", false,
                                        100, "n", command);
  TCLAP::ValueArg<double> service("", "service-ms", "Service time", false, 2,
                                  "ms", command);
  TCLAP::MultiArg<std::string> long_service("", "service-ms-long",
                                            "Service time of a kind", false,
                                            "kind=ms", command);
  TCLAP::ValueArg<int> cold("", "cold-ms", "Time of slow service after start",
                            false, 0, "ms", command);
  TCLAP::SwitchArg no_fence("", "no-fence-check", "Checks no fences", command);
  command.parse(argc, argv);

  BackendStandInOptions options;
  options.slots = slots.getValue();
  options.connections = connections.getValue();
  options.service_time = FromMs(service.getValue());
  options.cold_time = Milliseconds(cold.getValue());
  options.checks_fences = !no_fence.getValue();
  for (const std::string& text : long_service.getValue()) {
    options.service_time_by_kind.insert(ParseKindTime(text));
  }
  const std::string& base = address.getValue();
  const std::size_t colon = base.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("not ip:port: " + base);
  }
  const std::uint64_t port = std::stoul(base.substr(colon + 1));

  boost::asio::io_context loop(1);
  boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&](auto, int) { loop.stop(); });
  std::vector<std::unique_ptr<BackendStandIn>> endpoints;
  for (unsigned i = 0; i < count.getValue(); ++i) {
    options.name = name.getValue();
    if (count.isSet()) {
      options.name += "-" + std::to_string(first.getValue() + i);
    }
    endpoints.push_back(std::make_unique<BackendStandIn>(loop, options));
    const auto bound = endpoints.back()->Listen(base.substr(0, colon + 1) +
                                                std::to_string(port + i));
    if (!bound) {
      std::cerr << bound.error().detail << "\n";
      return 2;
    }
  }
  loop.run();
  return 0;
}

}  // namespace
}  // namespace balsamhall

int main(int argc, char** argv) {
  try {
    return balsamhall::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
