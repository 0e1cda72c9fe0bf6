#include "LibLedger/Commit.h"
#include "LibLedger/ShardState.h"
#include "RandomEntries.h"

#include <criterion/criterion.h>

using namespace Ledger;

static std::vector<Entry> randomEntries(uint64_t seed, int count)
{
    RandomEntries source(seed, 1'700'000'000'000);
    std::vector<Entry> entries;
    for (int i = 0; i < count; ++i)
        entries.push_back(source.next());
    return entries;
}

// Guards against fields that are lost or swapped between encoding and decoding.
Test(Codec, entriesAndCommitsSurviveARoundTrip)
{
    std::vector<Entry> entries = randomEntries(11, 2000);
    entries.push_back(Outcome { "r", { "w", "b" }, "n", 200, "application/octet-stream", std::string("\0\xff\x80", 3) });
    cr_assert(decodeEntries(encodeEntries(entries)) == entries);
    Commit commit { 7, { "host", 3 }, "nonce", 5, -6, entries };
    cr_assert(decodeCommit(encodeCommit(commit)) == commit);
}

// Guards against results that change on the way to another daemon.
Test(Codec, resultsSurviveARoundTrip)
{
    Outcome outcome { "r", { "w", "b" }, "n", 503, "text/plain", "body" };
    std::vector<EntryResult> results { { ResultCode::Applied, 5, 6, 7, std::nullopt }, { ResultCode::AlreadyClaimed, 0, 1, 2, ExistingClaim { { "h", 4 }, outcome } },
        { ResultCode::AlreadyClaimed, 0, 1, 2, ExistingClaim { { "h", 4 }, std::nullopt } } };
    cr_assert(decodeResults(encodeResults(results)) == results);
}

// Guards against values that would break sums or create tokens, such as negative bills.
Test(Codec, valuesOutOfRangeAreRefused)
{
    BudgetId budget { "w", "b" };
    Holder holder { "h", 1 };
    std::vector<Entry> wrong {
        TopUp { budget, "t", -1 },
        TopUp { budget, "t", INT64_MAX },
        TopUp { budget, "", 1 },
        TopUp { { "", "b" }, "t", 1 },
        TopUp { budget, std::string(600, 'x'), 1 },
        Grant { budget, holder, -1 },
        Return { budget, holder, -1 },
        Usage { "a", "r", budget, holder, -1, UsageKind::Complete, 0 },
        Usage { "a", "r", budget, holder, 1, UsageKind::Complete, -1 },
        Usage { "a", "r", budget, holder, 1, static_cast<UsageKind>(2), 0 },
        OpenAttempt { "a", "r", budget, holder, -1, "e" },
        Claim { "r", budget, -1, holder, "n", 0 },
        Claim { "r", budget, 1, holder, "", 0 },
        Outcome { "r", budget, "n", 1000, "t", "" },
        Outcome { "r", budget, "n", 200, "t", std::string(2049, 'x') },
        CloseHolder { budget, { "", 1 } },
    };
    for (size_t i = 0; i < wrong.size(); ++i)
        cr_assert_not(decodeEntries(encodeEntries({ wrong[i] })), "entry %zu was accepted", i);
}

// Guards against a decoder that throws, overflows the stack or exhausts memory on corrupted bytes from a peer.
Test(Codec, damagedBytesAreRefusedWithoutException)
{
    std::mt19937_64 random(12);
    std::string good = encodeEntries(randomEntries(13, 20));
    ShardState state;
    for (const Entry& entry : randomEntries(14, 200))
        state.apply(entry);
    std::string goodState = state.encode();
    for (size_t length = 0; length < good.size(); ++length)
        cr_assert_not(decodeEntries(good.substr(0, length)));
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = i % 2 ? good : goodState;
        for (uint64_t flips = 1 + random() % 3; flips > 0; --flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        decodeEntries(bytes);
        decodeResults(bytes);
        decodeCommit(bytes);
        ShardState::decode(bytes);
    }
    cr_assert_not(decodeEntries(std::string(500'000, '\x81')));
    cr_assert_not(decodeEntries("\x9b\xff\xff\xff\xff\xff\xff\xff\xf0"));
    cr_assert_not(decodeEntries(std::string("\x9b\x00\x00\x00\x7f\xff\xff\xff\xff", 9)));
    cr_assert_not(decodeEntries(good + "x"));
}

// Guards against a checkpoint that omits part of the state.
Test(Codec, stateSurvivesARoundTrip)
{
    ShardState state;
    state.beginCommit(1'700'000'000'000, 1'600'000'000'000);
    for (const Entry& entry : randomEntries(15, 3000))
        state.apply(entry);
    std::optional<ShardState> decoded = ShardState::decode(state.encode());
    cr_assert(decoded);
    cr_assert(*decoded == state);
    cr_assert_gt(state.trackedAttempts(), 100u);
}
