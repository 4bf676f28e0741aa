#include "dragonflyglade/peer/peer_codec.h"

#include <algorithm>

namespace dragonflyglade {

wire::MemberUpdate ToWire(const MemberStatus& statement) {
  wire::MemberUpdate update;
  update.name = statement.info.name;
  update.address = statement.info.address;
  update.peer_port = statement.info.peer_port;
  update.caller_port = statement.info.caller_port;
  update.zone = statement.info.zone;
  update.incarnation = statement.incarnation;
  update.sequence = statement.sequence;
  update.state = static_cast<std::int32_t>(statement.state);
  update.leaving = statement.leaving;
  update.load_permille = statement.load_permille;
  return update;
}

MemberStatus FromWire(const wire::MemberUpdate& update) {
  MemberStatus statement;
  statement.info = MemberInfo{update.name, update.address, update.peer_port,
                              update.caller_port, update.zone};
  statement.incarnation = update.incarnation;
  statement.sequence = update.sequence;
  statement.state =
      static_cast<MemberState>(std::clamp<std::int32_t>(update.state, 0, 2));
  statement.leaving = update.leaving;
  statement.load_permille = update.load_permille;
  return statement;
}

wire::ConfigRecord ToWire(const RecordVersion& version) {
  wire::ConfigRecord record;
  record.key = version.key;
  record.revision = version.revision;
  record.value = version.value;
  record.deleted = version.deleted;
  return record;
}

RecordVersion FromWire(const wire::ConfigRecord& record) {
  return RecordVersion{record.key, record.revision, record.value,
                       record.deleted};
}

wire::Balance ToWire(const WorkspaceBalance& balance) {
  wire::Balance wire_balance;
  wire_balance.workspace = balance.workspace;
  wire_balance.level = balance.level;
  wire_balance.cap = balance.cap;
  return wire_balance;
}

WorkspaceBalance FromWire(const wire::Balance& balance) {
  return WorkspaceBalance{balance.workspace, balance.level, balance.cap};
}

wire::LoanReply ToWire(const Loan& loan) {
  wire::LoanReply reply;
  reply.granted = loan.granted;
  reply.level = loan.level;
  reply.cap = loan.cap;
  reply.wait_us = absl::ToInt64Microseconds(loan.wait);
  reply.stamp = loan.stamp;
  reply.use_by_us = absl::ToInt64Microseconds(loan.use_by);
  return reply;
}

Loan FromWire(const wire::LoanReply& reply) {
  // The wait was rounded down to whole microseconds; one is added so that the
  // tokens are never spent too early.
  return Loan{reply.granted,
              absl::Microseconds(reply.wait_us + 1),
              absl::Microseconds(reply.use_by_us),
              reply.stamp,
              reply.level,
              reply.cap};
}

}  // namespace dragonflyglade
