#include "LibRelay/WorkspaceLedger.h"

#include <criterion/criterion.h>

using namespace Relay;

static GrantChange makeChange(const std::string& host, uint64_t incarnation, uint64_t sequence, Tokens wanted, Tokens least = 1)
{
    return { "w", host, incarnation, sequence, wanted, least, 1, 1'000 };
}

// Guards against granting a change twice when it is sent again after a lost reply.
Test(WorkspaceLedger, repeatedChangeTakesEffectOnce)
{
    WorkspaceLedger ledger;
    cr_assert_eq(ledger.apply(makeChange("a", 5, 1, 300)).granted, 300);
    GrantState again = ledger.apply(makeChange("a", 5, 1, 300));
    cr_assert(again.isApplied);
    cr_assert_eq(again.granted, 300);
    cr_assert_eq(ledger.remaining(), 700);
}

// Guards against granting again the tokens that a crashed process may have spent.
Test(WorkspaceLedger, laterProcessClosesTheRowOfTheEarlierOne)
{
    WorkspaceLedger ledger;
    ledger.apply(makeChange("a", 5, 1, 300));
    GrantState state = ledger.apply(makeChange("a", 9, 1, 100));
    cr_assert_eq(state.granted, 100);
    cr_assert_eq(ledger.closed, 300);
    cr_assert_eq(ledger.remaining(), 600);
}

// Guards against a delayed change of a terminated process replacing the row of its successor.
Test(WorkspaceLedger, lateChangeOfAnEarlierProcessHasNoEffect)
{
    WorkspaceLedger ledger;
    ledger.apply(makeChange("a", 9, 1, 100));
    WorkspaceLedger before = ledger;
    GrantState state = ledger.apply(makeChange("a", 5, 1, 300));
    cr_assert(state.isSuperseded);
    cr_assert_not(state.isApplied);
    cr_assert(ledger == before);
}

// Guards against a grant that is smaller than the minimum that the waiting request needs.
Test(WorkspaceLedger, smallRemainderGrantsNothing)
{
    WorkspaceLedger ledger;
    ledger.apply(makeChange("a", 5, 1, 900));
    cr_assert_not(ledger.apply(makeChange("b", 6, 1, 500, 200)).isApplied);
    cr_assert_eq(ledger.apply(makeChange("b", 6, 1, 500, 100)).granted, 100);
    cr_assert_eq(ledger.remaining(), 0);
}

// Guards against a daemon with an older configuration restoring an older budget.
Test(WorkspaceLedger, olderBudgetDoesNotReplaceANewerOne)
{
    WorkspaceLedger ledger;
    GrantChange lowered = makeChange("a", 5, 1, 100);
    lowered.configurationVersion = 4;
    lowered.budget = 400;
    ledger.apply(lowered);
    ledger.apply(makeChange("b", 6, 1, 1'000));
    cr_assert_eq(ledger.budget, 400);
    cr_assert_eq(ledger.remaining(), 0);
}

// Guards against losing or swapping fields when encoding ledgers and messages.
Test(WorkspaceLedger, encodingPreservesEveryField)
{
    LedgerShard shard;
    shard["w"].apply(makeChange("a", 5, 1, 300));
    shard["w"].apply(makeChange("b", 6, 1, 200));
    shard["v"].apply(makeChange("a", 5, 1, 50));
    Core::Reason reason;
    cr_assert(decodeShard(encodeShard(shard), reason) == shard, "%s", reason.text().c_str());
    TransferRequest request { "w", "a", 5, 7, -30, 2 };
    cr_assert(decodeTransfer(encodeTransfer(request), reason) == request);
    TransferReply reply { 4, 900, 100 };
    cr_assert(decodeReply(encodeReply(reply), reason) == reply);
    cr_assert_not(decodeShard("[1]", reason));
    cr_assert_not(decodeTransfer("garbage", reason));
    cr_assert_not(decodeReply(std::string("\xff\x00", 2), reason));
}
