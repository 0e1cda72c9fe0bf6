#pragma once

#include "LibHTTP/Message.h"
#include "LibIntent/AcceptResult.h"
#include "LibIntent/AcceptedNote.h"
#include "LibMembership/Member.h"
#include "LibOperator/OperatorApi.h"
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Operator {

HTTP::Response jsonResponse(unsigned status, const nlohmann::json&);

// {"error": {"code", "step", "peer", "message"}}
HTTP::Response errorResponse(unsigned status, const std::string& code, const Core::Reason&);

// The response to a submission that was not accepted.
HTTP::Response rejectedSubmissionResponse(const Intent::AcceptResult&);
HTTP::Response invalidNoteResponse(const std::vector<Intent::NoteError>&);

const char* toString(Membership::MemberState);
nlohmann::json toJson(const Membership::Member&);
nlohmann::json toJson(const MissingDaemon&);
nlohmann::json toJson(const Intent::AcceptedNote&);

}
