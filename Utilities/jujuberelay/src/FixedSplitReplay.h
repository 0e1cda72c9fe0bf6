#pragma once

#include "BudgetReplay.h"
#include <deque>

namespace Measure {

// Each top-up is divided equally among the daemons, and nothing moves between them. A daemon that is cut off gets
// its part when the partition ends.
class FixedSplitReplay : public BudgetReplay {
public:
    FixedSplitReplay(const BudgetTrace&, const ReplaySettings&);

private:
    struct Daemon {
        Tokens available { 0 };
        std::deque<size_t> waiting;
    };

    void topUp(Tokens) override;
    void arrive(size_t request) override;
    void finish(size_t request) override;
    void waitEnded(size_t request) override;
    void credit(uint32_t daemon, Tokens);
    void serveWaiting(Daemon&);

    std::vector<Daemon> m_daemons;
};

}
