#ifndef DRAGONFLYGLADE_PEER_PEER_CODEC_H_
#define DRAGONFLYGLADE_PEER_PEER_CODEC_H_

#include "dragonflyglade/decision/distributed_rate_limiter.h"
#include "dragonflyglade/decision/membership.h"
#include "dragonflyglade/decision/record_store.h"
#include "dragonflyglade/peer/generated/peer_types.h"

namespace dragonflyglade {

// Conversions between the types of decision/ and the Thrift structs.

wire::MemberUpdate ToWire(const MemberStatus& statement);
MemberStatus FromWire(const wire::MemberUpdate& update);
wire::ConfigRecord ToWire(const RecordVersion& version);
RecordVersion FromWire(const wire::ConfigRecord& record);
wire::Balance ToWire(const WorkspaceBalance& balance);
WorkspaceBalance FromWire(const wire::Balance& balance);
wire::LoanReply ToWire(const Loan& loan);
Loan FromWire(const wire::LoanReply& reply);

}  // namespace dragonflyglade

#endif  // DRAGONFLYGLADE_PEER_PEER_CODEC_H_
