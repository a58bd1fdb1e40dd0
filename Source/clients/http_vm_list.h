// The platform's list of VMs over HTTP.
#ifndef BALSAMHALL_CLIENTS_HTTP_VM_LIST_H_
#define BALSAMHALL_CLIENTS_HTTP_VM_LIST_H_

#include <string>

#include "clients/vm_list.h"
#include "net/http_client.h"

namespace balsamhall {

// Callbacks run on the loop's thread; pending ones are dropped when the object
// is destroyed.
class HttpVmList : public VmList {
 public:
  HttpVmList(boost::asio::io_context& loop, std::string address);

  void Fetch(Callback done) override;

 private:
  HttpClient client_;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CLIENTS_HTTP_VM_LIST_H_
