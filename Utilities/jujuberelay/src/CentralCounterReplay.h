#pragma once

#include "BudgetReplay.h"
#include <deque>

namespace Measure {

// One counter for each budget in the platform. Each request needs a conditional write before it starts and one after
// its end, and these follow one another, since each depends on the counter's previous version.
class CentralCounterReplay : public BudgetReplay {
public:
    using BudgetReplay::BudgetReplay;

private:
    struct Write {
        size_t request { 0 };
        bool isEnd { false };
    };

    void topUp(Tokens) override;
    void arrive(size_t request) override;
    void finish(size_t request) override;
    void waitEnded(size_t request) override { refuse(request); }
    void send(Write);
    void enqueue(Write);
    void startWrite();
    void apply(const Write&);
    void serveWaiting();

    Tokens m_available { 0 };
    std::deque<Write> m_writes;
    bool m_isWriting { false };
    // Requests whose write found too few tokens.
    std::deque<size_t> m_waiting;
};

}
