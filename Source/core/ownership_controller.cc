#include "core/ownership_controller.h"

#include <utility>

#include "core/controller_impl.h"

namespace balsamhall {

OwnershipController::OwnershipController(schema::RouterJoined self,
                                         OwnershipOptions options,
                                         std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(self), std::move(options), seed)) {
}

OwnershipController::~OwnershipController() = default;

OwnershipActions OwnershipController::Handle(const OwnershipEvent& event,
                                             SteadyTime now) {
  return impl_->Handle(event, now);
}

OwnershipController::Submission OwnershipController::Publish(
    const schema::ConfigPublished& publication, SteadyTime now) {
  schema::LogRecord record;
  *record.mutable_config_published() = publication;
  return impl_->Submit(std::move(record), now);
}

OwnershipController::Submission OwnershipController::DeclareLost(
    const schema::VmDeclaredLost& declaration, SteadyTime now) {
  schema::LogRecord record;
  *record.mutable_vm_declared_lost() = declaration;
  return impl_->Submit(std::move(record), now);
}

std::optional<OwnershipController::SubmissionResult>
OwnershipController::ResultOf(std::uint64_t sequence) const {
  return impl_->ResultOf(sequence);
}

const std::string& OwnershipController::writer_id() const {
  return impl_->writer_id();
}

std::shared_ptr<const RoutingSnapshot> OwnershipController::routing() const {
  return impl_->routing();
}

const schema::ConfigSnapshot& OwnershipController::configuration() const {
  return impl_->config().current();
}

schema::RouterStatus OwnershipController::status(SteadyTime now) const {
  return impl_->Status();
}

std::vector<schema::MoveEvent> OwnershipController::moves(
    const ServiceId& service, PartitionId partition) const {
  return impl_->Moves(service, partition);
}

const RouterRef& OwnershipController::self() const { return impl_->self(); }

}  // namespace balsamhall
