#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/LedgerWriter.h"
#include "RunTask.h"
#include <random>

using namespace Relay;

static const char* const objectName = "relay-ledgers/shard-0";
static constexpr Tokens budget = 10'000;

static GrantChange makeChange(const std::string& host, uint64_t sequence, Tokens wanted)
{
    return { "w", host, 1, sequence, wanted, 1, 1, budget };
}

static LedgerWriterSettings quickSettings()
{
    LedgerWriterSettings settings;
    settings.batchWindowMs = 1;
    settings.retryDelayMs = 1;
    return settings;
}

struct WriterFixture {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor() };
    LedgerWriter writer { context.get_executor(), store.hooks(), objectName, quickSettings() };
    LedgerWriter other { context.get_executor(), store.hooks(), objectName, quickSettings() };

    std::optional<GrantState> submit(LedgerWriter& through, GrantChange change, Core::Reason& reason)
    {
        return TestSupport::runTask(context, through.submit(std::move(change), true, Core::Deadline::after(std::chrono::seconds(20)), reason));
    }

    LedgerShard stored()
    {
        Core::Reason reason;
        return decodeShard(store.table().get(objectName, reason).value().value, reason).value();
    }
};

// Guards against writing a grant twice when the store's reply is lost after the write.
Test(LedgerWriter, lostReplyGrantsOnce)
{
    WriterFixture fixture;
    Core::Reason reason;
    fixture.submit(fixture.writer, makeChange("a", 1, 100), reason);
    fixture.store.loseReplies(1);
    std::optional<GrantState> state = fixture.submit(fixture.writer, makeChange("a", 2, 200), reason);
    cr_assert(state && state->isApplied);
    cr_assert_eq(state->granted, 300);
    cr_assert_eq(fixture.stored()["w"].remaining(), budget - 300);
}

// Guards against reporting a grant whose write never reached the store.
Test(LedgerWriter, lostRequestIsWrittenAgain)
{
    WriterFixture fixture;
    Core::Reason reason;
    fixture.submit(fixture.writer, makeChange("a", 1, 100), reason);
    fixture.store.loseRequests(1);
    std::optional<GrantState> state = fixture.submit(fixture.writer, makeChange("a", 2, 200), reason);
    cr_assert(state && state->isApplied);
    cr_assert_eq(fixture.stored()["w"].rows["a"].granted, 300);
}

// Guards against a request having to wait for the end of a batch window that began for a non-urgent change.
Test(LedgerWriter, flushEndsTheBatchWindow)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store(context.get_executor());
    LedgerWriterSettings settings;
    settings.batchWindowMs = 3'600'000;
    LedgerWriter writer(context.get_executor(), store.hooks(), objectName, settings);
    Core::Reason reason;
    std::optional<std::optional<GrantState>> result;
    TestSupport::startTask(context, writer.submit(makeChange("a", 1, 100), false, Core::Deadline::never(), reason), result);
    context.run_for(std::chrono::milliseconds(20));
    cr_assert_not(result);
    writer.flush();
    TestSupport::runUntil(context, [&result] { return result.has_value(); });
    cr_assert(*result && (*result)->isApplied);
}

// Guards against granting or refusing based on a copy of the shard that another writer has made stale.
Test(LedgerWriter, writersReadEachOthersChanges)
{
    WriterFixture fixture;
    Core::Reason reason;
    fixture.submit(fixture.writer, makeChange("a", 1, 4'000), reason);
    fixture.submit(fixture.other, makeChange("b", 1, 5'000), reason);
    std::optional<GrantState> state = fixture.submit(fixture.writer, makeChange("a", 2, 3'000), reason);
    cr_assert(state && state->isApplied);
    cr_assert_eq(state->granted, 5'000);
    cr_assert_eq(state->remaining, 0);
}

// Guards against a change hanging during a store outage instead of failing as definitely not written.
Test(LedgerWriter, outageFailsTheChangeImmediately)
{
    WriterFixture fixture;
    Core::Reason reason;
    fixture.store.setOutage(true);
    cr_assert_not(fixture.submit(fixture.writer, makeChange("a", 1, 100), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
}

// Guards against exceeding the budget, and against a state that differs from the store, under random combinations of two
// writers, lost replies, lost requests, conflicts and repeated changes.
Test(LedgerWriter, randomFaultsNeverExceedTheBudget)
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        WriterFixture fixture;
        std::map<std::string, GrantState> believed;
        for (int step = 0; step < 60; ++step) {
            std::string host(1, static_cast<char>('a' + random() % 4));
            switch (random() % 6) {
            case 0:
                fixture.store.loseReplies(1);
                break;
            case 1:
                fixture.store.loseRequests(1);
                break;
            case 2:
                fixture.store.failWithConflict(1);
                break;
            default:
                break;
            }
            GrantChange change = makeChange(host, believed[host].sequence + 1, static_cast<Tokens>(random() % 900) + 1);
            if (random() % 4 == 0 && believed[host].granted > 0)
                change.wanted = -static_cast<Tokens>(random() % static_cast<uint64_t>(believed[host].granted) + 1);
            LedgerWriter& first = random() % 2 ? fixture.writer : fixture.other;
            Core::Reason reason;
            std::optional<GrantState> state = fixture.submit(first, change, reason);
            cr_assert(state, "seed %lu: %s", seed, reason.text().c_str());
            // The caller did not receive the result and sends the same change through the other writer.
            if (random() % 3 == 0)
                state = fixture.submit(&first == &fixture.writer ? fixture.other : fixture.writer, change, reason);
            believed[host] = state.value();
            WorkspaceLedger ledger = fixture.stored()["w"];
            cr_assert_geq(ledger.remaining(), 0, "seed %lu", seed);
            // A change that was rejected based on a copy of the ledger may not reflect its own earlier effect, which shows
            // when the daemon sends the sequence number again. Until then the daemon assumes a smaller grant.
            cr_assert_leq(state->granted, ledger.rows[host].granted, "seed %lu", seed);
            cr_assert(!state->isApplied || state->granted == ledger.rows[host].granted, "seed %lu", seed);
        }
    }
}
