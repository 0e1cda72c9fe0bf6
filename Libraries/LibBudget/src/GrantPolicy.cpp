#include "LibBudget/GrantPolicy.h"

#include <algorithm>

namespace Budget {

GrantPolicy defaultGrantPolicy(GrantPolicySettings settings)
{
    return [settings](const GrantPolicyInput& input) {
        if (input.isScarce || !input.ungranted)
            return input.shortfall;
        double remainder = static_cast<double>(std::max<Ledger::Tokens>(0, *input.ungranted - input.shortfall));
        double limit = settings.maximumPrefetchShare * remainder / std::max<uint32_t>(1, input.activeHolders);
        double prefetch = std::min(settings.prefetchHorizonSeconds * input.tokensPerSecond, limit);
        return input.shortfall + std::max<Ledger::Tokens>(0, static_cast<Ledger::Tokens>(prefetch) - input.spare);
    };
}

}
