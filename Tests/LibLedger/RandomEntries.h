#pragma once

#include "LibLedger/Entry.h"
#include <random>

// Generates random entries with few distinct budgets, holders and identities, so that duplicates and conflicts are
// frequent.
class RandomEntries {
public:
    RandomEntries(uint64_t seed, int64_t nowMs)
        : m_random(seed)
        , m_nowMs(nowMs)
    {
    }

    Ledger::Entry next()
    {
        switch (below(12)) {
        case 0:
            return Ledger::TopUp { budget(), "top-up-" + number(60), amount() };
        case 1:
        case 2:
        case 3:
            return Ledger::Grant { budget(), holder(), cumulative() };
        case 4:
            return Ledger::Return { budget(), holder(), cumulative() / 3 };
        case 5:
        case 6:
        case 7:
            return usage();
        case 8:
            return claim();
        case 9:
            return outcome();
        case 10:
            return Ledger::Void { "call-" + number(80), budgetOfCall(m_last), "nonce-" + number(6) };
        default:
            return below(20) == 0 ? Ledger::Entry(Ledger::CloseHolder { budget(), holder() })
                                  : Ledger::Entry(Ledger::OpenAttempt { "attempt-" + number(800), "request-" + number(400), budget(), holder(), amount(), "endpoint" });
        }
    }

    uint64_t below(uint64_t bound) { return m_random() % bound; }

private:
    std::string number(uint64_t bound) { return std::to_string(m_last = below(bound)); }
    Ledger::BudgetId budget() { return { "workspace", "budget-" + std::to_string(below(3)) }; }
    // A call always belongs to the same budget.
    static Ledger::BudgetId budgetOfCall(uint64_t call) { return { "workspace", "budget-" + std::to_string(call % 3) }; }
    Ledger::Holder holder() { return { "host-" + std::to_string(below(4)), 1 + below(2) }; }
    Ledger::Tokens amount() { return static_cast<Ledger::Tokens>(below(500)); }
    // Cumulative values grow over time; some are lower than earlier ones, as in delayed messages.
    Ledger::Tokens cumulative() { return static_cast<Ledger::Tokens>(below(20 + ++m_steps * 2)); }

    Ledger::Usage usage()
    {
        std::string attempt = "attempt-" + number(1500);
        std::string request = "request-" + std::to_string(m_last / 2);
        Ledger::UsageKind kind = below(4) == 0 ? Ledger::UsageKind::BrokenOff : Ledger::UsageKind::Complete;
        return { attempt, request, budgetOfCall(m_last / 2), holder(), amount() / 4, kind, m_nowMs };
    }

    Ledger::Claim claim()
    {
        std::string call = "call-" + number(80);
        Ledger::BudgetId owner = budgetOfCall(m_last);
        return { call, owner, amount() / 8, holder(), "nonce-" + std::to_string(below(6)), m_nowMs };
    }

    Ledger::Outcome outcome()
    {
        std::string call = "call-" + number(80);
        Ledger::BudgetId owner = budgetOfCall(m_last);
        return { call, owner, "nonce-" + std::to_string(below(6)), 200, "text/plain", "done" };
    }

    std::mt19937_64 m_random;
    int64_t m_nowMs;
    uint64_t m_last { 0 };
    uint64_t m_steps { 0 };
};
