// Fields of the schema's messages that the generated code does not know.
#ifndef BALSAMHALL_GATEWAY_WIRE_NUMBERS_H_
#define BALSAMHALL_GATEWAY_WIRE_NUMBERS_H_

#include <google/protobuf/message.h>
#include <google/protobuf/unknown_field_set.h>

#include <cstdint>

namespace balsamhall::gateway {

// Sets an unsigned field by its number; 0 is not written, as in proto3.
// Precondition: the field is not set, and the generated code does not know it.
inline void SetNumber(google::protobuf::Message& message, int field,
                      std::uint64_t value) {
  if (value == 0) return;
  message.GetReflection()->MutableUnknownFields(&message)->AddVarint(field,
                                                                     value);
}

// Returns an unsigned field by its number; 0 if it is absent or of another
// type. The last one counts.
inline std::uint64_t NumberOf(const google::protobuf::Message& message,
                              int field) {
  const auto& fields = message.GetReflection()->GetUnknownFields(message);
  std::uint64_t value = 0;
  for (int i = 0; i < fields.field_count(); ++i) {
    const auto& candidate = fields.field(i);
    if (candidate.number() == field &&
        candidate.type() == google::protobuf::UnknownField::TYPE_VARINT) {
      value = candidate.varint();
    }
  }
  return value;
}

}  // namespace balsamhall::gateway

#endif  // BALSAMHALL_GATEWAY_WIRE_NUMBERS_H_
