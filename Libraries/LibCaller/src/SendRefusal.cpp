#include "SendRefusal.h"

namespace Caller {

Core::Task<void> sendRefusal(const Observer& observer, const Refusal& refusal, HTTP::ResponseWriter& writer)
{
    observer.onRefused(refusal);
    observer.onEnded(refusal.ran == ExecutionStatus::NotRun ? RequestOutcome::NotRun : RequestOutcome::Unknown);
    Core::Reason ignored;
    co_await writer.send(refusal.response(), ignored);
}

}
