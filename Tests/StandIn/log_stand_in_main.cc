#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <iterator>

#include "StandIn/log_stand_in.h"

namespace balsamhall {
namespace {

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for the platform's log and VM list", ' ');
  TCLAP::ValueArg<std::string> address("", "address", "Address to listen on",
                                       true, "", "ip:port", command);
  TCLAP::ValueArg<int> retention("", "retention-ms", "Retention of records",
                                 false, 3'600'000, "ms", command);
  TCLAP::ValueArg<int> lag("", "vm-lag-ms", "Delay of changes of the VM list",
                           false, 0, "ms", command);
  TCLAP::ValueArg<std::string> vms("", "vms", "JSON file with the VM list",
                                   false, "", "file", command);
  command.parse(argc, argv);

  LogStandInOptions options;
  options.retention = Milliseconds(retention.getValue());
  options.vm_lag = Milliseconds(lag.getValue());
  if (vms.isSet()) {
    std::ifstream file(vms.getValue());
    if (!file) {
      std::cerr << "cannot read " << vms.getValue() << "\n";
      return 2;
    }
    options.vms.assign(std::istreambuf_iterator<char>(file), {});
  }
  boost::asio::io_context loop(1);
  boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
  signals.async_wait([&](auto, int) { loop.stop(); });
  LogStandIn log(loop, options);
  if (const auto port = log.Listen(address.getValue()); !port) {
    std::cerr << port.error().detail << "\n";
    return 2;
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
