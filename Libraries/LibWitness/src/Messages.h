#pragma once

#include "LibWitness/RecordStore.h"

namespace Witness {

// Message bodies exchanged by owners and witnesses. Decoding returns nullopt for malformed bytes.
struct OpenRequest {
    // Whether to return an earlier attempt of the same request instead of storing the record.
    bool joinExisting { false };
    std::vector<Record> records;
};

// Contains one result for each record of the request, in the same order.
struct OpenReply {
    std::vector<RecordOpenResult> results;
};

struct CloseRequest {
    std::string attemptId;
    Ledger::Usage usage;
};

// Contains the usage stored by the witness; nullopt if the attempt is unknown.
struct CloseReply {
    std::optional<Ledger::Usage> storedUsage;
};

struct LookupRequest {
    std::string requestId;
    // Time for which the caller joins the attempt; 0 to look it up without joining.
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
