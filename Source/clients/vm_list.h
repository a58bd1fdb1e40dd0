// The platform's lagging list of VMs.
#ifndef BALSAMHALL_CLIENTS_VM_LIST_H_
#define BALSAMHALL_CLIENTS_VM_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include "core/result_code.h"

namespace balsamhall {

struct Vm {
  std::string id;
  std::string role;  // router or backend
  std::string data_centre;
  std::string region;
  std::string address;
  bool leaving = false;
};

// Callbacks run on the executor of the implementation, exactly once. Not
// thread-safe.
class VmList {
 public:
  using Callback = std::function<void(Result<std::vector<Vm>>)>;
  virtual ~VmList() = default;
  // Fails with kVmListUnavailable.
  virtual void Fetch(Callback done) = 0;
};

}  // namespace balsamhall

#endif  // BALSAMHALL_CLIENTS_VM_LIST_H_
