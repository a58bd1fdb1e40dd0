// Record of a transfer that an endpoint's primary refused.
#ifndef BALSAMHALL_CORE_TRANSFER_REFUSAL_H_
#define BALSAMHALL_CORE_TRANSFER_REFUSAL_H_

#include "core/types.h"

namespace balsamhall {

// Prefix of the target in the record of a refused transfer, followed by the
// name of the source endpoint. No endpoint's name contains a colon.
inline constexpr const char* kRefusedPrefix = "refused:";

inline bool IsRefusal(const schema::ReleasedPartition& record) {
  return record.target_endpoint().starts_with(kRefusedPrefix);
}

}  // namespace balsamhall

#endif  // BALSAMHALL_CORE_TRANSFER_REFUSAL_H_
