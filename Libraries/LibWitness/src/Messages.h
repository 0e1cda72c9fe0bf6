#pragma once

#include "LibWitness/RecordStore.h"

namespace Witness {

// The bodies of the calls between an owner and its witness. Decoding returns nullopt on bytes of another shape.
struct OpenRequest {
    // True when an earlier attempt of the same request is to be returned instead.
    bool joins { false };
    std::vector<Record> records;
};

// One answer for each record of the request.
struct OpenReply {
    std::vector<OpenAnswer> answers;
};

struct CloseRequest {
    std::string attemptId;
    Ledger::Usage usage;
};

// The usage that the witness keeps; empty when it does not know the attempt.
struct CloseReply {
    std::optional<Ledger::Usage> kept;
};

struct LookupRequest {
    std::string requestId;
    // Time for which the caller joins the attempt; 0 only asks.
    int64_t joinMs { 0 };
};

struct LookupReply {
    std::optional<Record> record;
    int64_t joiners { 0 };
};

struct FlushedNotice {
    std::vector<std::string> attemptIds;
};

struct RecordsOfRequest {
    Ledger::Holder holder;
};

std::string encodeMessage(const OpenRequest&);
std::string encodeMessage(const OpenReply&);
std::string encodeMessage(const CloseRequest&);
std::string encodeMessage(const CloseReply&);
std::string encodeMessage(const LookupRequest&);
std::string encodeMessage(const LookupReply&);
std::string encodeMessage(const FlushedNotice&);
std::string encodeMessage(const RecordsOfRequest&);

std::optional<OpenRequest> decodeOpenRequest(const std::string&);
std::optional<OpenReply> decodeOpenReply(const std::string&);
std::optional<CloseRequest> decodeCloseRequest(const std::string&);
std::optional<CloseReply> decodeCloseReply(const std::string&);
std::optional<LookupRequest> decodeLookupRequest(const std::string&);
std::optional<LookupReply> decodeLookupReply(const std::string&);
std::optional<FlushedNotice> decodeFlushedNotice(const std::string&);
std::optional<RecordsOfRequest> decodeRecordsOfRequest(const std::string&);

}
