#include "Fixture.h"
#include "Messages.h"
#include <random>

using namespace Witness;

static const Ledger::Holder owner { "owner", 1 };
static const Ledger::Holder other { "other", 1 };

// All fields must survive encoding and decoding. The deadline may only become later.
Test(Record, roundTrip)
{
    Record open = recordOf("a1", "r1", owner);
    Record closed = recordOf("a2", "r2", owner);
    closed.usage = usageOf(closed, 77);
    std::optional<std::vector<Record>> decoded = decodeRecords(encodeRecords({ open, closed }));
    cr_assert(decoded);
    cr_assert_eq(decoded->size(), 2u);
    for (size_t i = 0; i < 2; ++i) {
        Record expected = i == 0 ? open : closed;
        Core::Deadline deadline = (*decoded)[i].deadline;
        cr_assert(deadline >= Core::Deadline(expected.deadline.at() - 1s));
        (*decoded)[i].deadline = expected.deadline;
        cr_assert((*decoded)[i] == expected);
    }
}

// Corrupted or truncated messages must not crash a witness.
Test(Record, malformedMessagesDoNotCrash)
{
    std::mt19937 random(99);
    Record record = recordOf("a1", "r1", owner);
    record.usage = usageOf(record, 5);
    std::vector<std::string> bodies {
        encodeRecords({ record }),
        encodeMessage(OpenRequest { true, { record } }),
        encodeMessage(OpenReply { { { OpenStatus::Existing, record } } }),
        encodeMessage(CloseRequest { "a1", *record.usage }),
        encodeMessage(CloseReply { record.usage }),
        encodeMessage(LookupRequest { "r1", 5 }),
        encodeMessage(LookupReply { record, 1 }),
        encodeMessage(FlushedNotice { { "a1", "a2" } }),
        encodeMessage(RecordsOfRequest { owner }),
    };
    for (const std::string& body : bodies) {
        for (int round = 0; round < 2000; ++round) {
            std::string changed = body.substr(0, 1 + random() % body.size());
            for (unsigned flips = random() % 3; flips > 0; --flips)
                changed[random() % changed.size()] = static_cast<char>(random());
            decodeRecords(changed);
            decodeOpenRequest(changed);
            decodeOpenReply(changed);
            decodeCloseRequest(changed);
            decodeCloseReply(changed);
            decodeLookupRequest(changed);
            decodeLookupReply(changed);
            decodeFlushedNotice(changed);
            decodeRecordsOfRequest(changed);
        }
    }
    cr_assert_not(decodeRecords(std::string(1000000, '\x81')));
}

// Memory must not grow without bound while an owner is down, and removed records must not count towards the limit.
Test(RecordStore, memoryIsBounded)
{
    RecordStore store(100 * 1024);
    size_t stored = 0;
    while (store.open(recordOf("a" + std::to_string(stored), "r", owner), false, owner).status == OpenStatus::Stored)
        cr_assert(++stored < 1000);
    cr_assert(stored > 10);
    cr_assert(store.byteCount() <= 100 * 1024u);
    // Setting the usage of a stored record must succeed even if the store is full.
    cr_assert(store.close("a0", usageOf(recordOf("a0", "r", owner), 1)));
    std::vector<std::string> attemptIds;
    for (size_t i = 0; i < stored; ++i)
        attemptIds.push_back("a" + std::to_string(i));
    store.markFlushed(attemptIds);
    cr_assert_eq(store.recordCount(), 0u);
    cr_assert_eq(store.retainedCount(), 1u);
    // The record that is retained for late retries is evicted when the memory is needed.
    for (size_t i = 0; i < stored; ++i)
        cr_assert_eq(store.open(recordOf("b" + std::to_string(i), "r", owner), false, owner).status, OpenStatus::Stored);
    cr_assert_eq(store.retainedCount(), 0u);
    cr_assert(store.byteCount() <= 100 * 1024u);
}

// If the response to a request is lost, a retry must not run the request again, even after its usage was flushed.
Test(RecordStore, lateRetryFindsFlushedAttempt)
{
    RecordStore store;
    store.open(recordOf("a1", "r1", owner), true, owner);
    store.close("a1", usageOf(recordOf("a1", "r1", owner), 5));
    store.markFlushed({ "a1" });
    RecordOpenResult answer = store.open(recordOf("a2", "r1", owner), true, owner);
    cr_assert_eq(answer.status, OpenStatus::Existing);
    cr_assert_eq(answer.existing->attemptId, "a1");
    cr_assert_eq(answer.existing->usage->tokens, 5);
}

// A second usage of an attempt must not replace the first.
Test(RecordStore, firstUsageIsKept)
{
    RecordStore store;
    Record record = recordOf("a1", "r1", owner);
    store.open(record, false, owner);
    cr_assert_eq(store.close("a1", usageOf(record, 10))->tokens, 10);
    cr_assert_eq(store.close("a1", usageOf(record, 20))->tokens, 10);
    record.usage = usageOf(record, 30);
    cr_assert_eq(store.open(record, false, owner).status, OpenStatus::Stored);
    cr_assert_eq(store.findAttempt("a1")->record.usage->tokens, 10);
    cr_assert_not(store.close("unknown", usageOf(record, 1)));
}

// A record that is sent again must not be taken for a retry, and a retry must not open a second attempt.
Test(RecordStore, retryFindsEarlierAttempt)
{
    RecordStore store;
    Record record = recordOf("a1", "r1", owner);
    cr_assert_eq(store.open(record, true, owner).status, OpenStatus::Stored);
    cr_assert_eq(store.open(record, true, owner).status, OpenStatus::Stored);
    cr_assert(store.findAttempt("a1")->joiners.empty());
    RecordOpenResult answer = store.open(recordOf("a2", "r1", other), true, other);
    cr_assert_eq(answer.status, OpenStatus::Existing);
    cr_assert_eq(answer.existing->attemptId, "a1");
    cr_assert_eq(store.findAttempt("a1")->joiners.size(), 1u);
    cr_assert(store.findAttempt("a1")->joiners.front().holder == other);
    cr_assert_not(store.findAttempt("a2"));
    store.markFlushed({ "a1" });
    cr_assert_not(store.findRequest("r1"));
    cr_assert_eq(store.open(recordOf("a2", "r1", other), true, other).status, OpenStatus::Stored);
}

// A holder's grant must not be released while the store has a record of it. Incarnations are separate holders.
Test(RecordStore, recordsOfHolder)
{
    RecordStore store;
    store.open(recordOf("a1", "r1", owner), false, owner);
    store.open(recordOf("a2", "r2", other), false, other);
    cr_assert_eq(store.recordsOf(owner).size(), 1u);
    cr_assert(store.recordsOf({ "owner", 2 }).empty());
}

// A draining daemon must refuse new records, which would be lost, but keep serving those that it has.
Test(RecordStore, drainingRefusesNewRecords)
{
    RecordStore store;
    store.open(recordOf("a1", "r1", owner), false, owner);
    store.startDraining();
    cr_assert_eq(store.open(recordOf("a2", "r2", owner), false, owner).status, OpenStatus::Draining);
    cr_assert_eq(store.open(recordOf("a3", "r1", other), true, other).status, OpenStatus::Existing);
}
