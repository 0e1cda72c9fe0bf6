#pragma once

#include "BudgetReplay.h"
#include <deque>

namespace Measure {

// Divides each top-up equally among the daemons, without any later transfer between them. A partitioned daemon receives
// its share when the partition ends.
class FixedSplitReplay : public BudgetReplay {
public:
    FixedSplitReplay(const BudgetTrace&, const ReplaySettings&);

private:
    struct Daemon {
        Tokens available { 0 };
        std::deque<size_t> waiting;
    };

    void topUp(Tokens) override;
    void handleArrival(size_t request) override;
    void handleCompletion(size_t request) override;
    void handleWaitTimeout(size_t request) override;
    void credit(uint32_t daemon, Tokens);
    void serveWaiting(Daemon&);

    std::vector<Daemon> m_daemons;
};

}
