#include "SendRefusal.h"

namespace Caller {

Core::Task<void> sendRefusal(const Observer& observer, const Refusal& refusal, HTTP::ResponseWriter& writer)
{
    observer.refused(refusal);
    observer.ended(refusal.ran == Ran::NotRun ? RequestOutcome::NotRun : RequestOutcome::Unknown);
    Core::Reason ignored;
    co_await writer.send(refusal.response(), ignored);
}

}
