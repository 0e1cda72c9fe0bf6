#pragma once

#include "BudgetReplay.h"
#include <deque>

namespace Measure {

// One counter per budget in the platform's store. Each request needs a conditional write before it starts and another
// after it ends. The writes are serialised, because each depends on the previous version of the counter.
class CentralCounterReplay : public BudgetReplay {
public:
    using BudgetReplay::BudgetReplay;

private:
    struct Write {
        size_t request { 0 };
        bool isEnd { false };
    };

    void topUp(Tokens) override;
    void handleArrival(size_t request) override;
    void handleCompletion(size_t request) override;
    void handleWaitTimeout(size_t request) override { refuse(request); }
    void send(Write);
    void enqueue(Write);
    void startWrite();
    void apply(const Write&);
    void serveWaiting();

    Tokens m_available { 0 };
    std::deque<Write> m_writes;
    bool m_isWriting { false };
    // Requests whose write did not find enough tokens.
    std::deque<size_t> m_waiting;
};

}
