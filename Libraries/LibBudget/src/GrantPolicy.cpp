#include "LibBudget/GrantPolicy.h"

#include <algorithm>

namespace Budget {

GrantPolicy defaultGrantPolicy(GrantPolicySettings settings)
{
    return [settings](const GrantNeed& need) {
        if (need.isScarce || !need.ungranted)
            return need.missing;
        double remainder = static_cast<double>(std::max<Ledger::Tokens>(0, *need.ungranted - need.missing));
        double limit = settings.share * remainder / std::max<uint32_t>(1, need.activeHolders);
        double ahead = std::min(settings.demandSeconds * need.tokensPerSecond, limit);
        return need.missing + std::max<Ledger::Tokens>(0, static_cast<Ledger::Tokens>(ahead) - need.spare);
    };
}

}
